//! Reads typed fields out of parsed JSON and notes every fault with its place.

use std::net::SocketAddr;

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use sandshelf_model::ResourceSize;

use crate::fault::ConfigFault;

/// The longest name that is accepted, in characters.
const MAX_NAME_CHARS: usize = 120;

/// A file's name and text, as read.
#[derive(Clone, Debug)]
pub struct SourceFile {
    /// The name that faults quote.
    pub name: String,
    /// The whole text.
    pub text: String,
}

impl SourceFile {
    /// Takes a name and a text.
    pub fn new(name: &str, text: &str) -> Self {
        Self {
            name: name.to_owned(),
            text: text.to_owned(),
        }
    }

    /// Makes a fault at the byte position `offset`.
    pub(crate) fn fault_at(&self, offset: usize, problem: String, remedy: &str) -> ConfigFault {
        let before = &self.text[..offset.min(self.text.len())];
        let line_start = before.rfind('\n').map_or(0, |position| position + 1);
        ConfigFault {
            file: self.name.clone(),
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            problem,
            remedy: remedy.to_owned(),
        }
    }
}

/// Reads one object's fields; what nobody asked for is an unknown field.
pub(crate) struct ObjectReader<'a> {
    file: &'a SourceFile,
    object: &'a Object<'a>,
    known: Vec<&'static str>,
    faults: &'a mut Vec<ConfigFault>,
}

impl<'a> ObjectReader<'a> {
    pub(crate) fn new(
        file: &'a SourceFile,
        object: &'a Object<'a>,
        faults: &'a mut Vec<ConfigFault>,
    ) -> Self {
        Self {
            file,
            object,
            known: Vec::new(),
            faults,
        }
    }

    /// Opens `value` as an object, or notes that it isn't one.
    pub(crate) fn open(
        file: &'a SourceFile,
        value: &'a Value<'a>,
        what: &str,
        faults: &'a mut Vec<ConfigFault>,
    ) -> Option<Self> {
        let Some(object) = value.as_object() else {
            let problem = format!("{what} is not an object");
            faults.push(file.fault_at(value.range().start, problem, "write it as { ... }"));
            return None;
        };
        Some(Self::new(file, object, faults))
    }

    /// The byte position at which the object starts.
    pub(crate) fn offset(&self) -> usize {
        self.object.range.start
    }

    pub(crate) fn note(&mut self, offset: usize, problem: String, remedy: &str) {
        self.faults
            .push(self.file.fault_at(offset, problem, remedy));
    }

    pub(crate) fn find(&mut self, field: &'static str) -> Option<&'a Value<'a>> {
        self.known.push(field);
        self.object.get(field).map(|property| &property.value)
    }

    fn require(&mut self, field: &'static str) -> Option<&'a Value<'a>> {
        let value = self.find(field);
        if value.is_none() {
            let problem = format!("the field '{field}' is missing");
            self.note(self.offset(), problem, "add it");
        }
        value
    }

    /// Reads a required name.
    pub(crate) fn name(&mut self, field: &'static str) -> Option<String> {
        let value = self.require(field)?;
        let text = self.text_of(field, value)?;
        let valid = !text.is_empty()
            && text.chars().count() <= MAX_NAME_CHARS
            && text
                .chars()
                .all(|letter| letter.is_ascii_alphanumeric() || "-_.".contains(letter));
        if !valid {
            let problem = format!("'{text}' is no valid name for '{field}'");
            let remedy = "use 1 to 120 of the characters a-z A-Z 0-9 - _ .";
            self.note(value.range().start, problem, remedy);
            return None;
        }
        Some(text)
    }

    /// Reads an optional text.
    pub(crate) fn text_or(&mut self, field: &'static str, default: &str) -> Option<String> {
        match self.find(field) {
            None => Some(default.to_owned()),
            Some(value) => self.text_of(field, value),
        }
    }

    fn text_of(&mut self, field: &str, value: &Value<'_>) -> Option<String> {
        let text = value
            .as_string_lit()
            .map(|literal| literal.value.to_string());
        if text.is_none() {
            let problem = format!("'{field}' is not a text");
            self.note(value.range().start, problem, "write it in double quotes");
        }
        text
    }

    /// Reads a required whole number from `least` to `most`.
    pub(crate) fn number(&mut self, field: &'static str, least: u64, most: u64) -> Option<u64> {
        let value = self.require(field)?;
        self.number_of(field, value, least, most)
    }

    /// Reads an optional whole number from `least` to `most`.
    pub(crate) fn number_or(
        &mut self,
        field: &'static str,
        least: u64,
        most: u64,
        default: u64,
    ) -> Option<u64> {
        match self.find(field) {
            None => Some(default),
            Some(value) => self.number_of(field, value, least, most),
        }
    }

    fn number_of(&mut self, field: &str, value: &Value<'_>, least: u64, most: u64) -> Option<u64> {
        let written = value.as_number_lit().map_or("", |literal| literal.value);
        let number = written.parse::<u64>().ok();
        let in_range = number.filter(|number| (least..=most).contains(number));
        if in_range.is_none() {
            let shown = if written.is_empty() {
                "the value"
            } else {
                written
            };
            let problem = format!("{shown} does not fit '{field}'");
            let remedy = format!("write a whole number from {least} to {most}");
            self.note(value.range().start, problem, &remedy);
        }
        in_range
    }

    /// Reads an optional number from 0 to a million, with or without a fraction, in thousandths.
    pub(crate) fn thousandths_or(&mut self, field: &'static str, default: u64) -> Option<u64> {
        let Some(value) = self.find(field) else {
            return Some(default);
        };
        let written = value.as_number_lit().map_or("", |literal| literal.value);
        let number = written.parse::<f64>().ok();
        let in_range = number.filter(|number| (0.0..=1e6).contains(number));
        if in_range.is_none() {
            let problem = format!("the value does not fit '{field}'");
            self.note(
                value.range().start,
                problem,
                "write a number from 0 to 1000000",
            );
        }
        in_range.map(|number| (number * 1_000.0).round() as u64)
    }

    /// Reads an optional true or false.
    pub(crate) fn flag_or(&mut self, field: &'static str, default: bool) -> Option<bool> {
        let Some(value) = self.find(field) else {
            return Some(default);
        };
        let flag = value.as_boolean_lit().map(|literal| literal.value);
        if flag.is_none() {
            let problem = format!("'{field}' is neither true nor false");
            self.note(value.range().start, problem, "write true or false");
        }
        flag
    }

    /// Reads a required true or false.
    pub(crate) fn flag(&mut self, field: &'static str) -> Option<bool> {
        self.require(field)?;
        self.flag_or(field, false)
    }

    /// Reads a required socket address with an IP number.
    pub(crate) fn address(&mut self, field: &'static str) -> Option<SocketAddr> {
        let value = self.require(field)?;
        self.address_of(field, value)
    }

    /// Reads an optional socket address; the outer none stands for one with a fault.
    pub(crate) fn address_or_none(&mut self, field: &'static str) -> Option<Option<SocketAddr>> {
        match self.find(field) {
            None => Some(None),
            Some(value) => self.address_of(field, value).map(Some),
        }
    }

    fn address_of(&mut self, field: &str, value: &Value<'_>) -> Option<SocketAddr> {
        let text = self.text_of(field, value)?;
        let address = text.parse().ok();
        if address.is_none() {
            let problem = format!("'{text}' is no address for '{field}'");
            self.note(
                value.range().start,
                problem,
                "write IP-NUMBER:PORT; names are not looked up",
            );
        }
        address
    }

    /// Reads the three sizes that a task, replica or quota declares.
    pub(crate) fn size(&mut self, most: &ResourceSize) -> Option<ResourceSize> {
        let cpu_millis = self.number("cpu_millis", 1, most.cpu_millis);
        let memory_mib = self.number("memory_mib", 1, most.memory_mib);
        let accelerators = self.number_or("accelerators", 0, most.accelerators, 0);
        Some(ResourceSize::new(cpu_millis?, memory_mib?, accelerators?))
    }

    /// Lists the elements of an optional array.
    pub(crate) fn elements(&mut self, field: &'static str) -> &'a [Value<'a>] {
        let Some(value) = self.find(field) else {
            return &[];
        };
        let Some(array) = value.as_array() else {
            let problem = format!("'{field}' is not a list");
            self.note(value.range().start, problem, "write it as [ ... ]");
            return &[];
        };
        &array.elements
    }

    /// Lends the file and the faults to a nested reader.
    pub(crate) fn lend(&mut self) -> (&'a SourceFile, &mut Vec<ConfigFault>) {
        (self.file, self.faults)
    }

    /// Notes the fields that nobody asked for, and those written twice.
    pub(crate) fn finish(mut self) {
        let mut seen: Vec<&str> = Vec::new();
        for property in &self.object.properties {
            let name = property.name.as_str();
            let start = property.range.start;
            if !self.known.contains(&name) {
                let remedy = format!("remove it, or use one of: {}", self.known.join(", "));
                self.note(start, format!("unknown field '{name}'"), &remedy);
            } else if seen.contains(&name) {
                self.note(
                    start,
                    format!("the field '{name}' stands twice"),
                    "keep one",
                );
            }
            seen.push(name);
        }
    }
}
