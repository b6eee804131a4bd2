//! Input values: literals checked against types, variables coerced (GraphQL specification, sections 3.x "Input
//! Coercion", 5.6 and 6.1.2).

use crate::ast::*;
use crate::schema::{Schema, TypeKind};
use crate::{Error, Pos};
use serde_json::{Map, Value as Json};

type OnVariable<'f, 'd> = &'f mut dyn FnMut(&'d str, Type, Pos);

/// Checks a literal against a type; tells of each variable in it with the type its place wants.
pub(crate) fn literal<'d>(
    schema: &Schema, value: &'d Value, ty: &Type, on: OnVariable<'_, 'd>, errors: &mut Vec<Error>,
) {
    let wrong = |what: &str| Error::new(value.pos, format!("expected a value of type `{ty}`, found {what}"));
    match (&value.kind, ty) {
        (ValueKind::Variable(name), _) => on(name, ty.clone(), value.pos),
        (ValueKind::Null, Type::NonNull(_)) => errors.push(wrong("null")),
        (ValueKind::Null, _) => {}
        (_, Type::NonNull(inner)) => literal(schema, value, inner, on, errors),
        (ValueKind::List(values), Type::List(inner)) => {
            values.iter().for_each(|v| literal(schema, v, inner, on, errors));
        }
        // A single value stands for a list of one (section 3.11).
        (_, Type::List(inner)) => literal(schema, value, inner, on, errors),
        (found, Type::Named(name)) => {
            let Some(def) = schema.find(name).map(|t| &schema.types[t]) else { return };
            let fits = match (def.kind.clone(), found) {
                (TypeKind::Scalar, _) => scalar(name, found),
                (TypeKind::Enum, ValueKind::Enum(v)) => def.values.contains(v),
                (TypeKind::Input, ValueKind::Object(fields)) => {
                    for (field, value) in fields {
                        match def.inputs.get(field) {
                            Some(input) => literal(schema, value, &place(input), on, errors),
                            None => errors.push(Error::new(
                                value.pos,
                                format!("`{name}` has no input field `{field}`"),
                            )),
                        }
                    }
                    for (field, input) in &def.inputs {
                        let given = fields.iter().any(|(n, _)| n == field);
                        if !given && matches!(input.ty, Type::NonNull(_)) && input.default.is_none() {
                            errors.push(Error::new(
                                value.pos,
                                format!("input field `{name}.{field}` is required"),
                            ));
                        }
                    }
                    true
                }
                _ => false,
            };
            if !fits {
                errors.push(wrong(shown(found)));
            }
        }
    }
}

/// The type that a place wants of a variable: one with a default takes a nullable variable (section 5.8.5).
pub(crate) fn place(input: &crate::schema::Input) -> Type {
    if input.default.is_some() { input.ty.nullable().clone() } else { input.ty.clone() }
}

fn shown(value: &ValueKind) -> &'static str {
    match value {
        ValueKind::Variable(_) => "a variable",
        ValueKind::Int(_) => "an integer (or one out of range)",
        ValueKind::Float(_) => "a float",
        ValueKind::Str(_) => "a string",
        ValueKind::Bool(_) => "a boolean",
        ValueKind::Null => "null",
        ValueKind::Enum(_) => "an enum value that it does not have",
        ValueKind::List(_) => "a list",
        ValueKind::Object(_) => "an object",
    }
}

fn scalar(name: &str, value: &ValueKind) -> bool {
    match name {
        "Int" => matches!(value, ValueKind::Int(n) if n.parse::<i32>().is_ok()),
        "Float" => {
            matches!(value, ValueKind::Int(n) | ValueKind::Float(n) if n.parse::<f64>().is_ok_and(f64::is_finite))
        }
        "String" => matches!(value, ValueKind::Str(_)),
        "Boolean" => matches!(value, ValueKind::Bool(_)),
        "ID" => matches!(value, ValueKind::Str(_) | ValueKind::Int(_)),
        // A custom scalar's values are its service's affair (section 3.5).
        _ => true,
    }
}

/// Coerces the variables of an operation from JSON.
pub(crate) fn coerce_all(
    schema: &Schema, defs: &[VariableDef], given: Option<&Map<String, Json>>, errors: &mut Vec<Error>,
) -> Map<String, Json> {
    let mut coerced = Map::new();
    for def in defs {
        let path = format!("${}", def.name);
        match (given.and_then(|g| g.get(&def.name)), &def.default) {
            (Some(json), _) => match coerce(schema, json, &def.ty, &path) {
                Ok(value) => drop(coerced.insert(def.name.clone(), value)),
                Err(message) => errors.push(Error { message, at: None }),
            },
            (None, Some(default)) => {
                if let Some(value) = resolve(default, &Map::new()) {
                    coerced.insert(def.name.clone(), value);
                }
            }
            (None, None) if matches!(def.ty, Type::NonNull(_)) => {
                errors.push(Error {
                    message: format!("variable `{path}` of type `{}` is required", def.ty),
                    at: None,
                });
            }
            (None, None) => {}
        }
    }
    coerced
}

fn coerce(schema: &Schema, json: &Json, ty: &Type, path: &str) -> Result<Json, String> {
    let wrong = || format!("variable `{path}`: expected a value of type `{ty}`, found {}", json_shown(json));
    match (ty, json) {
        (Type::NonNull(_), Json::Null) => Err(wrong()),
        (Type::NonNull(inner), _) => coerce(schema, json, inner, path),
        (_, Json::Null) => Ok(Json::Null),
        (Type::List(inner), Json::Array(values)) => {
            let one = |(index, v): (usize, &Json)| coerce(schema, v, inner, &format!("{path}[{index}]"));
            values.iter().enumerate().map(one).collect::<Result<_, _>>().map(Json::Array)
        }
        (Type::List(inner), _) => Ok(Json::Array(vec![coerce(schema, json, inner, path)?])),
        (Type::Named(name), _) => {
            let Some(def) = schema.find(name).map(|t| &schema.types[t]) else { return Err(wrong()) };
            match (&def.kind, json) {
                (TypeKind::Enum, Json::String(value)) if def.values.contains(value) => Ok(json.clone()),
                (TypeKind::Input, Json::Object(fields)) => {
                    if let Some(field) = fields.keys().find(|f| !def.inputs.contains_key(*f)) {
                        return Err(format!("variable `{path}`: `{name}` has no input field `{field}`"));
                    }
                    let mut made = Map::new();
                    for (field, input) in &def.inputs {
                        let path = format!("{path}.{field}");
                        match (fields.get(field), &input.default) {
                            (Some(value), _) => {
                                made.insert(field.clone(), coerce(schema, value, &input.ty, &path)?);
                            }
                            (None, Some(default)) => {
                                made.extend(resolve(default, &Map::new()).map(|v| (field.clone(), v)));
                            }
                            (None, None) if matches!(input.ty, Type::NonNull(_)) => {
                                return Err(format!("variable `{path}` of type `{}` is required", input.ty));
                            }
                            (None, None) => {}
                        }
                    }
                    Ok(Json::Object(made))
                }
                (TypeKind::Scalar, _) => {
                    let fits = match name.as_str() {
                        "Int" => {
                            json.as_f64().is_some_and(|n| n.fract() == 0.0 && n.abs() <= f64::from(i32::MAX))
                        }
                        "Float" => json.is_number(),
                        "String" => json.is_string(),
                        "Boolean" => json.is_boolean(),
                        "ID" => json.is_string() || json.is_i64() || json.is_u64(),
                        _ => true,
                    };
                    if fits { Ok(json.clone()) } else { Err(wrong()) }
                }
                _ => Err(wrong()),
            }
        }
    }
}

fn json_shown(json: &Json) -> &'static str {
    match json {
        Json::Null => "null",
        Json::Bool(_) => "a boolean",
        Json::Number(_) => "a number of another kind",
        Json::String(_) => "a string",
        Json::Array(_) => "a list",
        Json::Object(_) => "an object",
    }
}

/// A literal's value; `None` for a variable that has none.
pub(crate) fn resolve(value: &Value, variables: &Map<String, Json>) -> Option<Json> {
    Some(match &value.kind {
        ValueKind::Variable(name) => return variables.get(name).cloned(),
        ValueKind::Int(n) | ValueKind::Float(n) => n.parse::<f64>().map_or(Json::Null, Json::from),
        ValueKind::Str(s) | ValueKind::Enum(s) => Json::from(s.as_str()),
        ValueKind::Bool(b) => Json::from(*b),
        ValueKind::Null => Json::Null,
        ValueKind::List(values) => {
            values.iter().map(|v| resolve(v, variables).unwrap_or(Json::Null)).collect::<Vec<_>>().into()
        }
        ValueKind::Object(fields) => fields
            .iter()
            .filter_map(|(n, v)| Some((n.clone(), resolve(v, variables)?)))
            .collect::<Map<_, _>>()
            .into(),
    })
}
