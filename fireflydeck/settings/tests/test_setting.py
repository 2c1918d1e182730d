"""Sources and validation of settings, and the messages of their errors."""

import pytest

from fireflydeck.settings import SETTINGS, SettingsError, parse_settings, render_settings_page

FLAGS = {
    "name": "g-1",
    "data_centre": "dc-1",
    "platform": "127.0.0.1:1",
    "listen": "127.0.0.1:2",
    "peer_listen": "127.0.0.1:3",
    "admin_listen": "127.0.0.1:4",
}
ENVIRON = {"FIREFLYDECK_PEER_SECRET": "0123456789abcdef"}


def test_parse_settings_flag_takes_precedence_over_variable():
    environ = {**ENVIRON, "FIREFLYDECK_NAME": "other", "FIREFLYDECK_LOG_LEVEL": "error"}
    values = parse_settings(SETTINGS, "gateway", FLAGS, environ)
    assert (values["name"], values["log_level"]) == ("g-1", "error")


@pytest.mark.parametrize(
    ("flags", "environ", "words"),
    [
        ({"listen": "localhost:80"}, {}, ("--listen", "localhost:80", "IP address")),
        ({"listen": "127.0.0.1:99999"}, {}, ("--listen", "99999")),
        ({"poll_interval_ms": 5}, {}, ("--poll-interval-ms", "'5'", "100 to 10000")),
        ({"log_level": "loud"}, {}, ("--log-level", "loud", "warning")),
        ({"lisen": "x"}, {}, ("unknown setting --lisen",)),
        ({"controllers": "127.0.0.1:1"}, {}, ("unknown setting --controllers for gateway",)),
        ({"peer_secret": "x" * 20}, {}, ("FIREFLYDECK_PEER_SECRET",)),
        ({}, {"FIREFLYDECK_LISTN": "x"}, ("unknown setting FIREFLYDECK_LISTN",)),
        ({}, {"FIREFLYDECK_PEER_SECRET": "short"}, ("(hidden)", "16 characters")),
    ],
)
def test_parse_settings_rejects_invalid_settings(flags, environ, words):
    with pytest.raises(SettingsError) as caught:
        parse_settings(SETTINGS, "gateway", {**FLAGS, **flags}, {**ENVIRON, **environ})
    message = str(caught.value)
    assert all(word in message for word in words)
    assert "short" not in message
    assert "\n" not in message


def test_parse_settings_names_a_missing_setting():
    flags = {name: value for name, value in FLAGS.items() if name != "platform"}
    with pytest.raises(SettingsError, match="missing setting --platform"):
        parse_settings(SETTINGS, "gateway", flags, ENVIRON)


def test_committed_settings_page_is_current(request):
    page = request.config.rootpath / "docs" / "SETTINGS.md"
    assert page.read_text() == render_settings_page()
