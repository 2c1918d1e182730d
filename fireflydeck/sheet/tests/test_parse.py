import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from fireflydeck.core import Organisation, Pool
from fireflydeck.sheet import SHEET_COLUMNS, SHEET_KINDS, Sheet, parse_sheet

HEAD = "# fireflydeck sheet, configuration 7\n"


def problem_locations(text):
    """Return row and column of each problem of the text."""
    return [(problem.row, problem.column) for problem in parse_sheet(text).error]


def test_parse_sheet_reads_rows_and_omits_empty_cells():
    text = (
        HEAD
        + 'kind,name,share,limit,spare\n\n# note\norganisation, museum ,3,,\npool,"a","","",yes\n'
    )
    sheet = parse_sheet(text).ok
    assert sheet.version == 7
    assert [(row.number, row.kind, row.name, row.values) for row in sheet.rows] == [
        (5, Organisation, "museum", {"share": 3}),
        (6, Pool, "a", {"spare": True}),
    ]


@pytest.mark.parametrize(
    "start", ["\ufeff" + HEAD, HEAD.strip() + ",,,\r\n", f'"{HEAD.strip()}"\n']
)
def test_parse_sheet_reads_output_of_spreadsheet_programs(start):
    assert parse_sheet(start + "kind,name\r\norganisation,museum\r\n").ok.version == 7


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", [(1, "")]),
        ("kind,name\n", [(1, "")]),
        ("# fireflydeck sheet, configuration -1\nkind,name\n", [(1, "")]),
        (HEAD, [(2, "")]),
        (HEAD + "kind,share\n", [(2, "name")]),
        (HEAD + "kind,name,colour,kind\n", [(2, "colour"), (2, "kind")]),
        (HEAD + 'kind,name\norganisation,"a\n', [(0, "")]),
        (HEAD + "kind,name\norganisation,a,b\n", [(3, "")]),
        (HEAD + "kind,name\nmember,a\norganisation,\n", [(3, "kind"), (4, "name")]),
        (
            HEAD + "kind,name,share\norganisation,a,1.5\norganisation,b,\u0661\n",
            [(3, "share"), (4, "share")],
        ),
        (HEAD + "kind,name,share,slots\norganisation,a,x,8\n", [(3, "share"), (3, "slots")]),
        (HEAD + "kind,name,remove\norganisation,a,maybe\n", [(3, "remove")]),
        (HEAD + "kind,name,spare\npool,a,true\n", [(3, "spare")]),
        (HEAD + "kind,name\norganisation,a\npool,a\norganisation,a\n", [(5, "name")]),
        (HEAD + "kind,name,start\nmaintenance_window,a,2027-13-01T00:00Z\n", [(3, "start")]),
        (HEAD + "kind,name,start\nmaintenance_window,a,tomorrow\n", [(3, "start")]),
        (HEAD + 'kind,name,region\ndata_centre,a,"x\ny"\norganisation,b,z\n', [(5, "region")]),
    ],
)
def test_parse_sheet_reports_problems_of_all_rows(text, expected):
    assert problem_locations(text) == expected


LINES = st.lists(
    st.lists(
        st.one_of(
            st.sampled_from([*SHEET_COLUMNS, *SHEET_KINDS, "yes", "no", "1", '"', ""]),
            st.text(max_size=8),
        ),
        max_size=6,
    ).map(",".join),
    max_size=6,
).map("\n".join)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.one_of(st.text(), LINES, LINES.map(lambda lines: HEAD + lines)))
@example(HEAD + "kind,name,start\nmaintenance_window,a,0000-01-01T00:00Z")
@example(HEAD + "kind,name\n\x00,a")
@example(HEAD + "kind,name\n" + "x" * 200_000)
def test_parse_sheet_never_raises(text):
    result = parse_sheet(text)
    if result.is_ok():
        assert isinstance(result.ok, Sheet)
    else:
        assert result.error
