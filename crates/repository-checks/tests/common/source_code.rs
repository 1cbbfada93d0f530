//! The code of Rust files without comments, the contents of literals, and unit tests.

/// Returns the code of a file without comments, and with empty string and character literals.
pub fn code_only(text: &str) -> String {
    let mut code = String::new();
    let mut rest = text;
    while let Some(first) = rest.chars().next() {
        let token = Token::at_start_of(rest);
        match token.kind {
            TokenKind::Code => code.push(first),
            TokenKind::Comment => code.push(' '),
            TokenKind::StringLiteral => code.push_str("\"\""),
            TokenKind::CharacterLiteral => code.push_str("' '"),
        }
        rest = &rest[token.length..];
    }
    code
}

/// Returns the code of a file like [`code_only`], up to the first `#[cfg(test)]`.
pub fn code_without_unit_tests(text: &str) -> String {
    let code = code_only(text);
    let (before_tests, _) = code.split_once("#[cfg(test)]").unwrap_or((&code, ""));
    before_tests.to_string()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TokenKind {
    /// A single character of code.
    Code,
    Comment,
    StringLiteral,
    CharacterLiteral,
}

/// A comment, a literal or a single character of code.
#[derive(Clone, Copy, Debug)]
struct Token {
    kind: TokenKind,
    /// The length in bytes.
    length: usize,
}

impl Token {
    fn at_start_of(text: &str) -> Self {
        let literal_or_comment = if text.starts_with("//") {
            Some(Self::of_kind(TokenKind::Comment, text.find('\n').unwrap_or(text.len())))
        } else if text.starts_with("/*") {
            let length = text.find("*/").map_or(text.len(), |end| end + "*/".len());
            Some(Self::of_kind(TokenKind::Comment, length))
        } else if text.starts_with('"') {
            Some(Self::of_kind(TokenKind::StringLiteral, quoted_length(text, '"')))
        } else if text.starts_with("r\"") || text.starts_with("r#") {
            raw_string_length(text).map(|length| Self::of_kind(TokenKind::StringLiteral, length))
        } else if is_character_literal(text) {
            Some(Self::of_kind(TokenKind::CharacterLiteral, quoted_length(text, '\'')))
        } else {
            None
        };
        let first_length = text.chars().next().map_or(0, char::len_utf8);
        literal_or_comment.unwrap_or(Self::of_kind(TokenKind::Code, first_length))
    }

    fn of_kind(kind: TokenKind, length: usize) -> Self {
        Self { kind, length }
    }
}

/// Returns the length in bytes of a literal that begins and ends with this quotation mark.
fn quoted_length(text: &str, mark: char) -> usize {
    let mut is_escaped = false;
    for (position, character) in text.char_indices().skip(1) {
        if character == mark && !is_escaped {
            return position + mark.len_utf8();
        }
        is_escaped = character == '\\' && !is_escaped;
    }
    text.len()
}

/// Returns the length in bytes of a raw string literal, such as `r#"a"#`, or `None` for other text, such as
/// `r#type`.
fn raw_string_length(text: &str) -> Option<usize> {
    let after_prefix = text.strip_prefix('r')?;
    let hashes = after_prefix.len() - after_prefix.trim_start_matches('#').len();
    let content = after_prefix[hashes..].strip_prefix('"')?;
    let closing = format!("\"{}", "#".repeat(hashes));
    let end = content.find(&closing)?;
    Some(text.len() - content.len() + end + closing.len())
}

/// Returns whether the text begins with a character literal, and not with a lifetime.
fn is_character_literal(text: &str) -> bool {
    let mut characters = text.chars();
    characters.next() == Some('\'') && (characters.next() == Some('\\') || characters.next() == Some('\''))
}
