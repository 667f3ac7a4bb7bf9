//! Reads typed fields from parsed JSON and collects every fault with its position.

use std::net::SocketAddr;

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use sandshelf_model::ResourceSize;

use crate::fault::ConfigFault;

/// The maximum length of a name, in characters.
const MAX_NAME_CHARS: usize = 120;
/// The default memory of the process, in MiB: what the users' current hosts have.
const DEFAULT_MEMORY_MIB: u64 = 256;
/// The default number of descriptors of the process: what the users' current hosts have.
const DEFAULT_MAX_DESCRIPTORS: u64 = 4_096;

/// The name and text of a file.
#[derive(Clone, Debug)]
pub struct SourceFile {
    /// The name that faults show: the path of the file.
    pub name: String,
    /// The complete text.
    pub text: String,
}

impl SourceFile {
    /// Creates a source file from its name and text.
    pub fn new(name: &str, text: &str) -> Self {
        Self {
            name: name.to_owned(),
            text: text.to_owned(),
        }
    }

    /// Creates a fault at the byte position `offset`; a position past the end counts as the end.
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

/// Reads the fields of one object. [`ObjectReader::finish`] reports each field that was not read as unknown.
pub(crate) struct ObjectReader<'a> {
    file: &'a SourceFile,
    object: &'a Object<'a>,
    /// The fields that were asked for so far, whether present or not.
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

    /// Opens `value` as an object; if it is not one, adds a fault that calls it `what` and returns none.
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

    /// Returns the byte position at which the object starts.
    pub(crate) fn offset(&self) -> usize {
        self.object.range.start
    }

    pub(crate) fn add_fault(&mut self, offset: usize, problem: String, remedy: &str) {
        self.faults
            .push(self.file.fault_at(offset, problem, remedy));
    }

    /// Returns the value of `field`, if present, and marks the field as known.
    pub(crate) fn find(&mut self, field: &'static str) -> Option<&'a Value<'a>> {
        self.known.push(field);
        self.object.get(field).map(|property| &property.value)
    }

    fn require(&mut self, field: &'static str) -> Option<&'a Value<'a>> {
        let value = self.find(field);
        if value.is_none() {
            let problem = format!("the field '{field}' is missing");
            self.add_fault(self.offset(), problem, "add it");
        }
        value
    }

    /// Reads a required name; none, with a fault, if it is missing or invalid.
    pub(crate) fn name(&mut self, field: &'static str) -> Option<String> {
        let value = self.require(field)?;
        let text = self.text_of(field, value)?;
        let valid = !text.is_empty()
            && text.chars().count() <= MAX_NAME_CHARS
            && text
                .chars()
                .all(|letter| letter.is_ascii_alphanumeric() || "-_.".contains(letter));
        if !valid {
            let problem = format!("'{text}' is not a valid name for '{field}'");
            let remedy = "use 1 to 120 of the characters a-z A-Z 0-9 - _ .";
            self.add_fault(value.range().start, problem, remedy);
            return None;
        }
        Some(text)
    }

    /// Reads an optional string.
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
            let problem = format!("'{field}' is not a string");
            self.add_fault(value.range().start, problem, "write it in double quotes");
        }
        text
    }

    /// Reads a required whole number from `min` to `max`, both included.
    pub(crate) fn number(&mut self, field: &'static str, min: u64, max: u64) -> Option<u64> {
        let value = self.require(field)?;
        self.number_of(field, value, min, max)
    }

    /// Reads an optional whole number from `min` to `max`, both included. The default is not checked against them.
    pub(crate) fn number_or(
        &mut self,
        field: &'static str,
        min: u64,
        max: u64,
        default: u64,
    ) -> Option<u64> {
        match self.find(field) {
            None => Some(default),
            Some(value) => self.number_of(field, value, min, max),
        }
    }

    fn number_of(&mut self, field: &str, value: &Value<'_>, min: u64, max: u64) -> Option<u64> {
        let written = value.as_number_lit().map_or("", |literal| literal.value);
        let number = written.parse::<u64>().ok();
        let in_range = number.filter(|number| (min..=max).contains(number));
        if in_range.is_none() {
            let shown = if written.is_empty() {
                "the value"
            } else {
                written
            };
            let problem = format!("{shown} does not fit '{field}'");
            let remedy = format!("write a whole number from {min} to {max}");
            self.add_fault(value.range().start, problem, &remedy);
        }
        in_range
    }

    /// Reads an optional number from 0 to 1,000,000, with or without a fraction, and returns it in thousandths, rounded. The default is in
    /// thousandths, too.
    pub(crate) fn thousandths_or(&mut self, field: &'static str, default: u64) -> Option<u64> {
        let Some(value) = self.find(field) else {
            return Some(default);
        };
        let written = value.as_number_lit().map_or("", |literal| literal.value);
        let number = written.parse::<f64>().ok();
        let in_range = number.filter(|number| (0.0..=1e6).contains(number));
        if in_range.is_none() {
            let problem = format!("the value does not fit '{field}'");
            self.add_fault(
                value.range().start,
                problem,
                "write a number from 0 to 1000000",
            );
        }
        in_range.map(|number| (number * 1_000.0).round() as u64)
    }

    /// Reads the optional limits of the process: its memory in MiB and its open descriptors.
    pub(crate) fn process_limits(&mut self) -> Option<(u64, u64)> {
        let memory_mib = self.number_or("memory_mb", 16, 1 << 20, DEFAULT_MEMORY_MIB);
        let max_descriptors =
            self.number_or("max_descriptors", 256, 1 << 20, DEFAULT_MAX_DESCRIPTORS);
        memory_mib.zip(max_descriptors)
    }

    /// Reads an optional Boolean.
    pub(crate) fn flag_or(&mut self, field: &'static str, default: bool) -> Option<bool> {
        let Some(value) = self.find(field) else {
            return Some(default);
        };
        let flag = value.as_boolean_lit().map(|literal| literal.value);
        if flag.is_none() {
            let problem = format!("'{field}' is neither true nor false");
            self.add_fault(value.range().start, problem, "write true or false");
        }
        flag
    }

    /// Reads a required Boolean.
    pub(crate) fn flag(&mut self, field: &'static str) -> Option<bool> {
        self.require(field)?;
        self.flag_or(field, false)
    }

    /// Reads a required socket address with a numeric IP address.
    pub(crate) fn address(&mut self, field: &'static str) -> Option<SocketAddr> {
        let value = self.require(field)?;
        self.address_of(field, value)
    }

    /// Reads an optional socket address. Returns `Some(None)` if the field is absent, and `None`, with a fault, if it is invalid.
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
            self.add_fault(
                value.range().start,
                problem,
                "write IP-NUMBER:PORT; host names are not resolved",
            );
        }
        address
    }

    /// Reads the resource size of a task, replica or quota: three fields, each at most that of `max`. Accelerators default to 0.
    pub(crate) fn size(&mut self, max: &ResourceSize) -> Option<ResourceSize> {
        let cpu_millis = self.number("cpu_millis", 1, max.cpu_millis);
        let memory_mib = self.number("memory_mib", 1, max.memory_mib);
        let accelerators = self.number_or("accelerators", 0, max.accelerators, 0);
        Some(ResourceSize::new(cpu_millis?, memory_mib?, accelerators?))
    }

    /// Returns the elements of an optional array; empty, with a fault, if the field is not an array.
    pub(crate) fn elements(&mut self, field: &'static str) -> &'a [Value<'a>] {
        let Some(value) = self.find(field) else {
            return &[];
        };
        let Some(array) = value.as_array() else {
            let problem = format!("'{field}' is not a list");
            self.add_fault(value.range().start, problem, "write it as [ ... ]");
            return &[];
        };
        &array.elements
    }

    /// Returns the file and the list of faults, for the reader of a nested object.
    pub(crate) fn file_and_faults(&mut self) -> (&'a SourceFile, &mut Vec<ConfigFault>) {
        (self.file, self.faults)
    }

    /// Adds a fault for each unknown field and for each field that appears more than once.
    pub(crate) fn finish(mut self) {
        let mut seen: Vec<&str> = Vec::new();
        for property in &self.object.properties {
            let name = property.name.as_str();
            let start = property.range.start;
            if !self.known.contains(&name) {
                let remedy = format!("remove it, or use one of: {}", self.known.join(", "));
                self.add_fault(start, format!("unknown field '{name}'"), &remedy);
            } else if seen.contains(&name) {
                self.add_fault(
                    start,
                    format!("the field '{name}' appears twice"),
                    "keep one",
                );
            }
            seen.push(name);
        }
    }
}
