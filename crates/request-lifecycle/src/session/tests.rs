use super::*;

#[test]
fn the_first_cookie_of_the_exact_name_counts_without_its_quotes() {
    let fields = ["a=1; SID=x.r1", "SID=y.r2"];
    assert_eq!(cookie("SID", fields), Some("x.r1"), "the first counts");
    assert_eq!(cookie("SID", ["SIDE=1;  SID = \"q.r\" "]), Some("q.r"));
    assert_eq!(cookie("sid", fields), None, "names of cookies are case-sensitive");
    assert_eq!(cookie("", ["=x.y"]), None);
}

#[test]
fn the_first_parameter_of_the_exact_name_counts() {
    assert_eq!(parameter("s", "a=b;s=1.r;s=2.r", ';'), Some("1.r"));
    assert_eq!(parameter("", "=1", '&'), None);
    assert_eq!(split_path("/g;s=1.r;t=2"), ("/g", "s=1.r;t=2"));
}

#[test]
fn the_route_is_what_follows_the_first_dot_of_the_session_id() {
    assert_eq!(sticky_route("x.r1"), "r1");
    assert_eq!(sticky_route("x.a.b"), "a.b");
    assert_eq!(sticky_route("x"), "");
    assert_eq!(sticky_route(""), "");
}
