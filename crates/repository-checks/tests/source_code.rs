//! Tests of the parser of Rust code that the other checks use.

mod common;

use common::source_code::{code_only, code_without_unit_tests};
use common::use_declarations::{UsedPath, used_paths};

#[test]
fn removes_comments_and_the_contents_of_literals_from_code() {
    let text =
        "let a = \"use \\\"b\\\"; // c\"; // use d;\n/* use e;\n*/ let f = ('\"', '\\'', r#\"g\"h\"#);\n";

    let code = code_only(text);

    assert_eq!(code, "let a = \"\";  \n  let f = (' ', ' ', \"\");\n");
}

#[test]
fn keeps_lifetimes_raw_identifiers_and_names_that_end_in_r() {
    let text = "fn first<'a>(r#type: &'a str, for_r: &'static str) -> &'a str { r#type }";

    let code = code_only(text);

    assert_eq!(code, text);
}

#[test]
fn removes_unit_tests_from_code() {
    let text = "const MARK: &str = \"#[cfg(test)]\";\nfn run() {}\n#[cfg(test)]\nmod tests {}\n";

    let code = code_without_unit_tests(text);

    assert_eq!(code, "const MARK: &str = \"\";\nfn run() {}\n");
}

#[test]
fn reads_every_path_of_a_use_declaration() {
    let code = "#[cfg(unix)]\npub(crate) use a::{b::{self, C as D}, e};\nfn run() {\n    use f::G;\n}\n";

    let paths = used_paths(code);

    let displayed: Vec<_> = paths.iter().map(UsedPath::display).collect();
    assert_eq!(displayed, ["a::b::self", "a::b::C", "a::e", "f::G"]);
    let re_exports: Vec<_> = paths.iter().map(|path| path.is_re_export).collect();
    assert_eq!(re_exports, [true, true, true, false]);
}
