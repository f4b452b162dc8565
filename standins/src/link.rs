//! WebSocket server for the connections through which daemons control one worker.

use crate::{WorkerFaults, WorkerModel};
use futures_util::{SinkExt, StreamExt};
use log::info;
use pomelotide_core::{Millis, WorkerCommand, WorkerReport};
use pomelotide_wire::{decode, encode, WorkerFrame};
use std::{
    io,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time,
};
use tokio_tungstenite::{accept_async, tungstenite::Message};

/// Interval at which tasks that are due to end are looked up.
const TICK_INTERVAL: Duration = Duration::from_millis(2);

/// A worker that is controlled through any number of connections.
///
/// Reports that answer no command go to the connection of the latest accepted claim.
#[derive(Clone, Debug)]
pub(crate) struct SharedWorker {
    name: Arc<str>,
    model: Arc<Mutex<WorkerModel>>,
    report_sender: Arc<Mutex<Option<mpsc::UnboundedSender<WorkerReport>>>>,
    started_at: Instant,
}

impl SharedWorker {
    pub(crate) fn new(name: &str, model: WorkerModel) -> Self {
        let model = Arc::new(Mutex::new(model));
        Self {
            name: name.into(),
            model,
            report_sender: Arc::default(),
            started_at: Instant::now(),
        }
    }

    pub(crate) fn set_faults(&self, faults: WorkerFaults) {
        self.with_model(|model, _| model.faults = faults);
    }

    fn with_model<T>(&self, operation: impl FnOnce(&mut WorkerModel, Millis) -> T) -> T {
        let now_ms = Millis(self.started_at.elapsed().as_millis() as u64);
        let mut model = self.model.lock().unwrap_or_else(PoisonError::into_inner);
        operation(&mut model, now_ms)
    }

    /// Logs whether a start command started its task; the proofs count these lines.
    fn log_start(&self, command: &WorkerCommand, started: bool) {
        let WorkerCommand::Start(start) = command else {
            return;
        };
        let event = if started { "started" } else { "not_started" };
        let (name, cpu_milli) = (&self.name, start.need.cpu_milli);
        let (task, team) = (&start.task, &start.team);
        info!("event={event} worker={name} team={team} cpu_milli={cpu_milli} task=\"{task}\"");
    }

    /// Logs ended tasks and tasks rejected for lack of capacity; the proofs count these lines.
    fn log_reports(&self, reports: &[WorkerReport]) {
        for report in reports {
            match report {
                WorkerReport::Ended(ended) => {
                    let (name, task, end) = (&self.name, &ended.task, ended.end);
                    info!("event=ended worker={name} end={end:?} task=\"{task}\"");
                }
                WorkerReport::NoRoom(task) => {
                    info!("event=no_room worker={} task=\"{task}\"", self.name);
                }
                _ => {}
            }
        }
    }

    /// Sends reports to the connection of the latest accepted claim.
    fn send_reports(&self, reports: Vec<WorkerReport>) {
        let report_sender = self
            .report_sender
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(sender) = report_sender.as_ref() {
            for report in reports {
                // Reports to a closed connection are lost; the reply to the next claim repeats them.
                let _ = sender.send(report);
            }
        }
    }

    /// Runs the tasks and accepts connections until accepting fails.
    pub(crate) async fn serve(self, listener: TcpListener) {
        tokio::spawn(self.clone().run_tasks());
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(self.clone().serve_connection(stream));
        }
    }

    /// Ends tasks when they are due and reports them.
    async fn run_tasks(self) {
        loop {
            time::sleep(TICK_INTERVAL).await;
            let reports = self.with_model(|model, now_ms| model.tick(now_ms));
            self.log_reports(&reports);
            self.send_reports(reports);
        }
    }

    /// Serves one connection until the daemon closes it or an error occurs.
    async fn serve_connection(self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let Ok(socket) = accept_async(stream).await else {
            return Ok(());
        };
        let (mut sink, mut stream) = socket.split();
        let (sender, mut reports) = mpsc::unbounded_channel();
        let writer = async move {
            while let Some(report) = reports.recv().await {
                let Ok(bytes) = encode(&report) else { break };
                if sink.send(Message::binary(bytes)).await.is_err() {
                    break;
                }
            }
        };
        tokio::spawn(writer);
        while let Some(Ok(message)) = stream.next().await {
            if let Message::Binary(bytes) = message {
                self.handle_frame(&bytes, &sender);
            }
        }
        Ok(())
    }

    /// Applies one received frame and replies on the connection it came from.
    ///
    /// Frames that cannot be decoded are ignored.
    fn handle_frame(&self, bytes: &[u8], sender: &mpsc::UnboundedSender<WorkerReport>) {
        let Ok(frame) = decode::<WorkerFrame>(bytes) else {
            return;
        };
        let command = frame.command.clone();
        let (reports, started) = self.with_model(|model, now_ms| {
            let before = model.started().len();
            let reports = model.handle_command(now_ms, frame.claim, frame.command);
            (reports, model.started().len() > before)
        });
        self.log_start(&command, started);
        self.log_reports(&reports);
        for report in reports {
            if matches!(report, WorkerReport::Claimed { .. }) {
                *self
                    .report_sender
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner) = Some(sender.clone());
            }
            let _ = sender.send(report);
        }
    }
}
