//! Input values: checks literals against types and coerces variables (GraphQL specification, "Input Coercion" in
//! section 3, and sections 5.6 and 6.1.2).

use crate::ast::*;
use crate::schema::{Schema, TypeKind};
use crate::{Error, Pos};
use serde_json::{Map, Value as Json};

type VariableCallback<'f, 'd> = &'f mut dyn FnMut(&'d str, Type, Pos);

/// Checks a literal against a type, and calls `visit` for each variable in it with the type expected at its location.
pub(crate) fn check_literal<'d>(
    schema: &Schema, value: &'d Value, ty: &Type, visit: VariableCallback<'_, 'd>, errors: &mut Vec<Error>,
) {
    let mismatch =
        |what: &str| Error::new(value.pos, format!("expected a value of type `{ty}`, found {what}"));
    match (&value.kind, ty) {
        (ValueKind::Variable(name), _) => visit(name, ty.clone(), value.pos),
        (ValueKind::Null, Type::NonNull(_)) => errors.push(mismatch("null")),
        (ValueKind::Null, _) => {}
        (_, Type::NonNull(inner)) => check_literal(schema, value, inner, visit, errors),
        (ValueKind::List(values), Type::List(inner)) => {
            values.iter().for_each(|v| check_literal(schema, v, inner, visit, errors));
        }
        // A single value is coerced to a list of one (section 3.11).
        (_, Type::List(inner)) => check_literal(schema, value, inner, visit, errors),
        (found, Type::Named(name)) => {
            let Some(def) = schema.type_id(name).map(|t| &schema.types[t]) else { return };
            let is_valid = match (def.kind.clone(), found) {
                (TypeKind::Scalar, _) => scalar_accepts(name, found),
                (TypeKind::Enum, ValueKind::Enum(v)) => def.enum_values.contains(v),
                (TypeKind::Input, ValueKind::Object(fields)) => {
                    for (field, value) in fields {
                        match def.input_fields.get(field) {
                            Some(input) => check_literal(schema, value, &location_type(input), visit, errors),
                            None => errors.push(Error::new(
                                value.pos,
                                format!("`{name}` has no input field `{field}`"),
                            )),
                        }
                    }
                    for (field, input) in &def.input_fields {
                        let is_given = fields.iter().any(|(n, _)| n == field);
                        if !is_given && matches!(input.ty, Type::NonNull(_)) && input.default.is_none() {
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
            if !is_valid {
                errors.push(mismatch(describe(found)));
            }
        }
    }
}

/// Type expected of a variable used for an input value: nullable if the input value has a default (section 5.8.5).
pub(crate) fn location_type(input: &crate::schema::InputValue) -> Type {
    if input.default.is_some() { input.ty.nullable().clone() } else { input.ty.clone() }
}

fn describe(value: &ValueKind) -> &'static str {
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

fn scalar_accepts(name: &str, value: &ValueKind) -> bool {
    match name {
        "Int" => matches!(value, ValueKind::Int(n) if n.parse::<i32>().is_ok()),
        "Float" => {
            matches!(value, ValueKind::Int(n) | ValueKind::Float(n) if n.parse::<f64>().is_ok_and(f64::is_finite))
        }
        "String" => matches!(value, ValueKind::Str(_)),
        "Boolean" => matches!(value, ValueKind::Bool(_)),
        "ID" => matches!(value, ValueKind::Str(_) | ValueKind::Int(_)),
        // The backend defines and checks the values of custom scalars (section 3.5).
        _ => true,
    }
}

/// Coerces the variables of a request to the types that the operation declares (section 6.1.2).
pub(crate) fn coerce_variables(
    schema: &Schema, defs: &[VariableDef], values: Option<&Map<String, Json>>, errors: &mut Vec<Error>,
) -> Map<String, Json> {
    let mut coerced = Map::new();
    for def in defs {
        let path = format!("${}", def.name);
        match (values.and_then(|v| v.get(&def.name)), &def.default) {
            (Some(json), _) => match coerce(schema, json, &def.ty, &path) {
                Ok(value) => drop(coerced.insert(def.name.clone(), value)),
                Err(message) => errors.push(Error { message, at: None }),
            },
            (None, Some(default)) => {
                if let Some(value) = to_json(default, &Map::new()) {
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
    let mismatch =
        || format!("variable `{path}`: expected a value of type `{ty}`, found {}", describe_json(json));
    match (ty, json) {
        (Type::NonNull(_), Json::Null) => Err(mismatch()),
        (Type::NonNull(inner), _) => coerce(schema, json, inner, path),
        (_, Json::Null) => Ok(Json::Null),
        (Type::List(inner), Json::Array(values)) => {
            let coerce_item =
                |(index, v): (usize, &Json)| coerce(schema, v, inner, &format!("{path}[{index}]"));
            values.iter().enumerate().map(coerce_item).collect::<Result<_, _>>().map(Json::Array)
        }
        (Type::List(inner), _) => Ok(Json::Array(vec![coerce(schema, json, inner, path)?])),
        (Type::Named(name), _) => {
            let Some(def) = schema.type_id(name).map(|t| &schema.types[t]) else { return Err(mismatch()) };
            match (&def.kind, json) {
                (TypeKind::Enum, Json::String(value)) if def.enum_values.contains(value) => Ok(json.clone()),
                (TypeKind::Input, Json::Object(fields)) => {
                    if let Some(field) = fields.keys().find(|f| !def.input_fields.contains_key(*f)) {
                        return Err(format!("variable `{path}`: `{name}` has no input field `{field}`"));
                    }
                    let mut object = Map::new();
                    for (field, input) in &def.input_fields {
                        let path = format!("{path}.{field}");
                        match (fields.get(field), &input.default) {
                            (Some(value), _) => {
                                object.insert(field.clone(), coerce(schema, value, &input.ty, &path)?);
                            }
                            (None, Some(default)) => {
                                object.extend(to_json(default, &Map::new()).map(|v| (field.clone(), v)));
                            }
                            (None, None) if matches!(input.ty, Type::NonNull(_)) => {
                                return Err(format!("variable `{path}` of type `{}` is required", input.ty));
                            }
                            (None, None) => {}
                        }
                    }
                    Ok(Json::Object(object))
                }
                (TypeKind::Scalar, _) => {
                    let is_valid = match name.as_str() {
                        "Int" => {
                            json.as_f64().is_some_and(|n| n.fract() == 0.0 && n.abs() <= f64::from(i32::MAX))
                        }
                        "Float" => json.is_number(),
                        "String" => json.is_string(),
                        "Boolean" => json.is_boolean(),
                        "ID" => json.is_string() || json.is_i64() || json.is_u64(),
                        _ => true,
                    };
                    if is_valid { Ok(json.clone()) } else { Err(mismatch()) }
                }
                _ => Err(mismatch()),
            }
        }
    }
}

fn describe_json(json: &Json) -> &'static str {
    match json {
        Json::Null => "null",
        Json::Bool(_) => "a boolean",
        Json::Number(_) => "a number of another kind",
        Json::String(_) => "a string",
        Json::Array(_) => "a list",
        Json::Object(_) => "an object",
    }
}

/// Converts a literal to JSON; `None` for a variable without a value.
pub(crate) fn to_json(value: &Value, variables: &Map<String, Json>) -> Option<Json> {
    Some(match &value.kind {
        ValueKind::Variable(name) => return variables.get(name).cloned(),
        ValueKind::Int(n) | ValueKind::Float(n) => n.parse::<f64>().map_or(Json::Null, Json::from),
        ValueKind::Str(s) | ValueKind::Enum(s) => Json::from(s.as_str()),
        ValueKind::Bool(b) => Json::from(*b),
        ValueKind::Null => Json::Null,
        ValueKind::List(values) => {
            values.iter().map(|v| to_json(v, variables).unwrap_or(Json::Null)).collect::<Vec<_>>().into()
        }
        ValueKind::Object(fields) => fields
            .iter()
            .filter_map(|(n, v)| Some((n.clone(), to_json(v, variables)?)))
            .collect::<Map<_, _>>()
            .into(),
    })
}
