//! A small JSON reader and writer, enough for the platform's bodies.

use std::collections::BTreeMap;
use std::fmt;

/// A JSON value. Numbers are kept as integers where they are integers.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Int(i64),
    Float(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Map(map) => map.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn int(&self) -> Option<i64> {
        match self {
            Json::Int(value) => Some(*value),
            Json::Float(value) => Some(*value as i64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

/// Builds an object.
pub fn map<const N: usize>(fields: [(&str, Json); N]) -> Json {
    let fields = fields.into_iter();
    Json::Map(fields.map(|(key, value)| (key.to_owned(), value)).collect())
}

pub fn text(value: impl Into<String>) -> Json {
    Json::Text(value.into())
}

pub fn int(value: impl TryInto<i64>) -> Json {
    Json::Int(value.try_into().unwrap_or(i64::MAX))
}

impl fmt::Display for Json {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => out.write_str("null"),
            Json::Bool(value) => write!(out, "{value}"),
            Json::Int(value) => write!(out, "{value}"),
            Json::Float(value) => write!(out, "{value}"),
            Json::Text(value) => write_text(out, value),
            Json::List(items) => {
                out.write_str("[")?;
                for (place, item) in items.iter().enumerate() {
                    if place > 0 {
                        out.write_str(",")?;
                    }
                    write!(out, "{item}")?;
                }
                out.write_str("]")
            }
            Json::Map(fields) => {
                out.write_str("{")?;
                for (place, (key, value)) in fields.iter().enumerate() {
                    if place > 0 {
                        out.write_str(",")?;
                    }
                    write_text(out, key)?;
                    write!(out, ":{value}")?;
                }
                out.write_str("}")
            }
        }
    }
}

fn write_text(out: &mut fmt::Formatter<'_>, value: &str) -> fmt::Result {
    out.write_str("\"")?;
    for sign in value.chars() {
        match sign {
            '"' => out.write_str("\\\"")?,
            '\\' => out.write_str("\\\\")?,
            sign if (sign as u32) < 0x20 => write!(out, "\\u{:04x}", sign as u32)?,
            sign => write!(out, "{sign}")?,
        }
    }
    out.write_str("\"")
}

/// Parses a JSON text; none if it is malformed.
pub fn parse(input: &[u8]) -> Option<Json> {
    let mut reader = Reader { input, at: 0 };
    let value = reader.value()?;
    reader.space();
    (reader.at == input.len()).then_some(value)
}

struct Reader<'a> {
    input: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while matches!(self.input.get(self.at), Some(b' ' | b'\n' | b'\r' | b'\t')) {
            self.at += 1;
        }
    }

    fn peek(&mut self) -> Option<u8> {
        self.space();
        self.input.get(self.at).copied()
    }

    fn expect(&mut self, sign: u8) -> Option<()> {
        (self.peek()? == sign).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let rest = self.input.get(self.at..self.at + word.len())?;
        (rest == word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => self.items(),
            b'{' => self.fields(),
            _ => self.number(),
        }
    }

    fn items(&mut self) -> Option<Json> {
        self.expect(b'[')?;
        let mut items = Vec::new();
        if self.peek()? == b']' {
            self.at += 1;
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            match self.peek()? {
                b',' => self.at += 1,
                b']' => {
                    self.at += 1;
                    return Some(Json::List(items));
                }
                _ => return None,
            }
        }
    }

    fn fields(&mut self) -> Option<Json> {
        self.expect(b'{')?;
        let mut fields = BTreeMap::new();
        if self.peek()? == b'}' {
            self.at += 1;
            return Some(Json::Map(fields));
        }
        loop {
            self.space();
            let key = self.string()?;
            self.expect(b':')?;
            fields.insert(key, self.value()?);
            match self.peek()? {
                b',' => self.at += 1,
                b'}' => {
                    self.at += 1;
                    return Some(Json::Map(fields));
                }
                _ => return None,
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.expect(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let sign = *self.input.get(self.at)?;
            self.at += 1;
            match sign {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.input.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b'r' => bytes.push(b'\r'),
                        b't' => bytes.push(b'\t'),
                        b'b' => bytes.push(8),
                        b'f' => bytes.push(12),
                        b'u' => {
                            let digits = self.input.get(self.at..self.at + 4)?;
                            let digits = std::str::from_utf8(digits).ok()?;
                            self.at += 4;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let sign = char::from_u32(code)?;
                            bytes.extend(sign.to_string().as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                sign => bytes.push(sign),
            }
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        while matches!(
            self.input.get(self.at),
            Some(b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E')
        ) {
            self.at += 1;
        }
        let number = std::str::from_utf8(&self.input[start..self.at]).ok()?;
        match number.parse::<i64>() {
            Ok(value) => Some(Json::Int(value)),
            Err(_) => number.parse::<f64>().ok().map(Json::Float),
        }
    }
}
