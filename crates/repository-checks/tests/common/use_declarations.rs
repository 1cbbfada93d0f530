//! The `use` declarations of Rust code.

/// A path that a `use` declaration names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsedPath {
    /// The segments of the path. The last segment of a glob is `*`.
    pub segments: Vec<String>,
    /// Whether the declaration re-exports the path.
    pub is_re_export: bool,
}

impl UsedPath {
    /// Returns whether the path names all items of a module at once.
    pub fn is_glob(&self) -> bool {
        self.segments.last().is_some_and(|segment| segment == "*")
    }

    /// Returns the path with `::` between the segments.
    pub fn display(&self) -> String {
        self.segments.join("::")
    }
}

/// Returns all paths that the `use` declarations name, in code without comments and literals.
pub fn used_paths(code: &str) -> Vec<UsedPath> {
    code.split(';').flat_map(paths_of_statement).collect()
}

fn paths_of_statement(statement: &str) -> Vec<UsedPath> {
    let statement = statement.trim_start();
    let Some((before, tree)) = statement.split_once("use ") else { return Vec::new() };
    // The text after the last bracket is the visibility, because attributes and blocks end in a bracket.
    let visibility = before.rsplit(['{', '}', ']']).next().unwrap_or_default().trim();
    let is_re_export = visibility.starts_with("pub");
    if !is_re_export && !visibility.is_empty() {
        return Vec::new();
    }
    expand(tree).into_iter().map(|segments| UsedPath { segments, is_re_export }).collect()
}

/// Returns the paths that a `use` tree names, each as a list of segments.
fn expand(tree: &str) -> Vec<Vec<String>> {
    let tree = tree.trim();
    let Some((head, rest)) = tree.split_once('{') else {
        let path = tree.split(" as ").next().unwrap_or("");
        return vec![segments_of(path)];
    };
    let head = segments_of(head);
    let body = rest.rsplit_once('}').map_or(rest, |(body, _)| body);
    let branches = split_at_top_level(body).into_iter().flat_map(|branch| expand(&branch));
    branches.map(|branch| [head.clone(), branch].concat()).collect()
}

fn segments_of(path: &str) -> Vec<String> {
    let segments = path.split("::").map(|segment| segment.trim().to_string());
    segments.filter(|segment| !segment.is_empty()).collect()
}

fn split_at_top_level(body: &str) -> Vec<String> {
    let mut depth = 0;
    let mut branches = vec![String::new()];
    for character in body.chars() {
        match character {
            '{' => depth += 1,
            '}' => depth -= 1,
            _ => {}
        }
        if character == ',' && depth == 0 {
            branches.push(String::new());
        } else {
            branches.last_mut().unwrap().push(character);
        }
    }
    branches.into_iter().filter(|branch| !branch.trim().is_empty()).collect()
}
