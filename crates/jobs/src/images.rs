//! Maps the names of images to small numbers.

use std::collections::HashMap;

/// A number that stands for the name of an image, because interference coefficients are read thousands of times a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ImageId(pub(crate) u16);

/// The known images.
#[derive(Clone, Debug, Default)]
pub(crate) struct ImageTable {
    ids: HashMap<String, ImageId>,
}

impl ImageTable {
    /// The identifier of an image; a new image gets a new one.
    ///
    /// When all identifiers are used up, further images share the last one. What is learned about these images is then mixed, without
    /// other effects.
    pub(crate) fn intern(&mut self, name: &str) -> ImageId {
        let next = ImageId(u16::try_from(self.ids.len()).unwrap_or(u16::MAX));
        *self.ids.entry(name.to_owned()).or_insert(next)
    }

    /// The names of the known images.
    pub(crate) fn names(&self) -> HashMap<ImageId, &str> {
        let ids = self.ids.iter();
        ids.map(|(name, id)| (*id, name.as_str())).collect()
    }

    /// The identifier of a known image; 0 for an unknown one.
    pub(crate) fn get(&self, name: &str) -> ImageId {
        self.ids.get(name).copied().unwrap_or_default()
    }
}
