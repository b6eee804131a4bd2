use super::*;

#[test]
fn cookies_and_parameters() {
    let fields = ["a=1; SID=x.r1", "SID=y.r2"];
    assert_eq!(cookie("SID", fields), Some("x.r1"), "the first counts");
    assert_eq!(cookie("SID", ["SIDE=1;  SID = \"q.r\" "]), Some("q.r"));
    assert_eq!(cookie("sid", fields), None, "names of cookies are told apart by case");
    assert_eq!(cookie("", ["=x.y"]), None);
    assert_eq!(parameter("s", "a=b;s=1.r;s=2.r", ';'), Some("1.r"));
    assert_eq!(parameter("", "=1", '&'), None);
    assert_eq!(split_path("/g;s=1.r;t=2"), ("/g", "s=1.r;t=2"));
    assert_eq!(
        (sticky_route("x.r1"), sticky_route("x.a.b"), sticky_route("x"), sticky_route("")),
        ("r1", "a.b", "", "")
    );
}
