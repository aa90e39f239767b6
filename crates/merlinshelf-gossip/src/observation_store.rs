//! All figures that an instance keeps, its own and told ones, and what it believes.

use std::collections::BTreeMap;

use crate::observation::{
    GossipedObservation, InvalidObservation, MAX_AGE_SECONDS, MAX_HOPS, Metric, Observation,
    Source, SourceStatus,
};

/// Origins that are kept for one subject: enough that a lying one is outvoted, few enough that 3,000 peers cost no more
/// than 8.
const ORIGINS_MOST: usize = 8;
/// Subjects that are kept: operations and dependencies of a large installation.
const SUBJECTS_MOST: usize = 512;
/// So many samples make a figure half as sure as it can get.
const HALF_SURE: f64 = 8.0;
/// What weighs less is not believed at all.
const COUNTS_FROM: f64 = 0.01;
/// Own samples at which what was told counts for half at the most: a few.
const FEW: f64 = 3.0;

/// What is believed of a subject from what was told.
#[derive(Clone, Debug, PartialEq)]
pub struct Estimate {
    pub value: f64,
    /// How sure it is, 0 to 1.
    pub weight: f64,
    /// Who has seen what it rests on, the surest first.
    pub origins: Vec<Source>,
}

impl Estimate {
    /// The part that what was told still has beside so many samples of one's own.
    pub fn share(&self, own_samples: usize) -> f64 {
        self.weight / (self.weight + own_samples as f64 / FEW)
    }

    /// A figure of what was told and one's own, by the part each has.
    pub fn beside(&self, own: f64, own_samples: usize) -> f64 {
        if own_samples == 0 {
            return self.value;
        }
        let share = self.share(own_samples);
        self.value * share + own * (1.0 - share)
    }
}

/// The book of one instance in one life.
#[derive(Clone, Debug)]
pub struct ObservationStore {
    own: Source,
    number: u64,
    figures: BTreeMap<Metric, BTreeMap<Source, Observation>>,
}

impl ObservationStore {
    pub fn new(own: Source) -> ObservationStore {
        ObservationStore {
            own,
            number: 0,
            figures: BTreeMap::new(),
        }
    }

    pub fn own(&self) -> &Source {
        &self.own
    }

    /// Something was seen here, a while ago. The same value of as many samples as before is the look before: where nothing
    /// happens a figure grows old.
    pub fn see(
        &mut self,
        now: f64,
        subject: Metric,
        value: f64,
        count: u32,
        age: f64,
        standing: SourceStatus,
    ) {
        let known = self
            .figures
            .get(&subject)
            .and_then(|all| all.get(&self.own));
        // What can't be is a fault of a clock or of a sum, and is not told to others either.
        let same = known.is_some_and(|known| known.value == value && known.count == count);
        if same || !subject.can_be(value) {
            return;
        }
        let now = now - age.max(0.0);
        self.number += 1;
        let figure = Observation {
            value,
            count,
            seen: now,
            number: self.number,
            hops: 0,
            standing,
        };
        let own = self.own.clone();
        self.put(now, subject, own, figure);
    }

    /// Somebody told. The same look of the same origin is the same figure, by whatever way and however often it comes: it
    /// gets no younger and no surer by that.
    pub fn hear(&mut self, now: f64, told: GossipedObservation) -> Result<(), InvalidObservation> {
        told.check(&self.own)?;
        let GossipedObservation {
            subject,
            origin,
            value,
            count,
            age,
            number,
            hops,
            standing,
        } = told;
        let mut figure = Observation {
            value,
            count,
            seen: now - age,
            number,
            hops,
            standing,
        };
        if let Some(known) = self.figures.get(&subject).and_then(|all| all.get(&origin)) {
            if known.number > number {
                return Ok(());
            }
            if known.number == number {
                figure = Observation {
                    seen: known.seen.min(figure.seen),
                    hops: known.hops.min(hops),
                    ..known.clone()
                };
            }
        }
        self.put(now, subject, origin, figure);
        Ok(())
    }

    fn put(&mut self, now: f64, subject: Metric, origin: Source, figure: Observation) {
        if !self.figures.contains_key(&subject) && self.figures.len() >= SUBJECTS_MOST {
            self.forget_oldest();
        }
        let all = self.figures.entry(subject.clone()).or_default();
        all.insert(origin, figure);
        // Of too many the one that counts least goes, never what was seen here.
        while all.len() > ORIGINS_MOST {
            let own = &self.own;
            let others = all.iter().filter(|(origin, _)| *origin != own);
            let weighed =
                others.map(|(origin, figure)| (weight(now, &subject, figure), origin.clone()));
            match weighed.min_by(|a, b| a.0.total_cmp(&b.0)) {
                Some((_, least)) => all.remove(&least),
                None => break,
            };
        }
    }

    fn forget_oldest(&mut self) {
        let newest = |all: &BTreeMap<Source, Observation>| {
            all.values()
                .map(|figure| figure.seen)
                .fold(f64::MIN, f64::max)
        };
        let oldest = self
            .figures
            .iter()
            .min_by(|a, b| newest(a.1).total_cmp(&newest(b.1)));
        if let Some(subject) = oldest.map(|(subject, _)| subject.clone()) {
            self.figures.remove(&subject);
        }
    }

    /// What may be told to others: what was seen here, and once more what was told by who had seen it. Of more than `most`
    /// what counts most goes, and first what was seen here.
    pub fn tell(&self, now: f64, most: usize) -> Vec<GossipedObservation> {
        let mut all = self.all(now);
        if all.len() > most {
            let counts = |told: &GossipedObservation| {
                let GossipedObservation {
                    subject,
                    count,
                    age,
                    hops,
                    standing,
                    ..
                } = told;
                counts_for(subject, *count, *age, *hops, *standing)
                    + f64::from(u8::from(told.origin == self.own))
            };
            all.sort_by(|a, b| counts(b).total_cmp(&counts(a)));
            all.truncate(most);
        }
        all
    }

    /// All that may be told or kept.
    pub fn all(&self, now: f64) -> Vec<GossipedObservation> {
        let mut all = Vec::new();
        for (subject, figures) in &self.figures {
            for (origin, figure) in figures {
                let (age, hops) = ((now - figure.seen).max(0.0), figure.hops + 1);
                if hops <= MAX_HOPS && age <= MAX_AGE_SECONDS {
                    all.push(GossipedObservation {
                        subject: subject.clone(),
                        origin: origin.clone(),
                        value: figure.value,
                        count: figure.count,
                        age,
                        number: figure.number,
                        hops,
                        standing: figure.standing,
                    });
                }
            }
        }
        all
    }

    /// What is believed of a subject from what others have seen: the median by weight, so that no single liar moves it past
    /// what an honest one says where there are two of those.
    pub fn believe(&self, now: f64, subject: &Metric) -> Option<Estimate> {
        let all = self.figures.get(subject)?;
        let others = all.iter().filter(|(origin, _)| **origin != self.own);
        let mut weighed: Vec<(f64, f64, &Source)> = others
            .map(|(origin, figure)| (figure.value, weight(now, subject, figure), origin))
            .collect();
        weighed.retain(|(_, weight, _)| *weight > COUNTS_FROM);
        weighed.sort_by(|a, b| a.0.total_cmp(&b.0));
        let whole: f64 = weighed.iter().map(|(_, weight, _)| weight).sum();
        let mut below = 0.0;
        let value = weighed.iter().find(|(_, weight, _)| {
            below += weight;
            below >= whole / 2.0
        });
        let value = value?.0;
        // As sure as the surest: many echoes of a guess are still a guess.
        let surest = weighed
            .iter()
            .map(|(_, weight, _)| *weight)
            .fold(0.0, f64::max);
        weighed.sort_by(|a, b| b.1.total_cmp(&a.1));
        Some(Estimate {
            value,
            weight: surest,
            origins: weighed.into_iter().map(|(_, _, of)| of.clone()).collect(),
        })
    }

    /// The figures by subject and origin, for reports.
    pub fn figures(&self) -> impl Iterator<Item = (&Metric, &Source, &Observation)> {
        self.figures
            .iter()
            .flat_map(|(subject, all)| all.iter().map(move |(origin, of)| (subject, origin, of)))
    }

    /// How many of the figures that were told, by whose word, still count for something.
    pub fn counting(&self, now: f64) -> BTreeMap<&Source, usize> {
        let mut counting = BTreeMap::new();
        for (subject, origin, figure) in self.figures() {
            if *origin != self.own && weight(now, subject, figure) > COUNTS_FROM {
                *counting.entry(origin).or_default() += 1;
            }
        }
        counting
    }

    /// Forgets all that others have seen.
    pub fn forget_others(&mut self) {
        let own = self.own.clone();
        self.figures
            .values_mut()
            .for_each(|all| all.retain(|origin, _| *origin == own));
        self.figures.retain(|_, all| !all.is_empty());
    }

    /// Forgets all that this origin has seen, in whatever life.
    pub fn forget(&mut self, name: &str) {
        self.figures
            .values_mut()
            .for_each(|all| all.retain(|origin, _| origin.name != name));
        self.figures.retain(|_, all| !all.is_empty());
    }
}

/// How much a figure counts, 0 to 1: by its samples, its age, its way and its teacher's standing.
pub fn weight(now: f64, subject: &Metric, figure: &Observation) -> f64 {
    counts_for(
        subject,
        figure.count,
        (now - figure.seen).max(0.0),
        figure.hops,
        figure.standing,
    )
}

/// The same of a figure with so many samples, so old, over so many others.
fn counts_for(subject: &Metric, count: u32, age: f64, hops: u8, standing: SourceStatus) -> f64 {
    let samples = f64::from(count);
    let sure = samples / (samples + HALF_SURE);
    let fresh = 0.5_f64.powf(age / subject.half_life());
    let way = 0.5_f64.powi(i32::from(hops.saturating_sub(1)));
    sure * fresh * way * standing.trust(subject)
}
