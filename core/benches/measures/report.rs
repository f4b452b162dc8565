//! Lines of measures and their bounds.

/// What a measure must keep.
#[derive(Clone, Copy, Debug)]
pub enum Bound {
    /// Nothing.
    None,
    /// At most this.
    Most(f64),
}

/// The lines so far.
#[derive(Debug, Default)]
pub struct Report {
    broken: usize,
}

impl Report {
    /// Prints a measure.
    pub fn line(&mut self, name: &str, value: f64, unit: &str, bound: Bound) {
        match bound {
            Bound::None => println!("{name} {value:.2} {unit} -"),
            Bound::Most(most) if value <= most => println!("{name} {value:.2} {unit} {most}"),
            Bound::Most(most) => {
                self.broken += 1;
                println!("{name} {value:.2} {unit} {most} OVER");
            }
        }
    }

    /// Prints the number of broken bounds as the last line, by which a cut run is seen.
    pub fn finish(self) {
        println!("end-of-measures {} 1 -", self.broken);
    }
}
