package org.cranberrybend.controller;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.cranberrybend.runtime.settings.SettingsException;
import org.cranberrybend.runtime.settings.SettingsLoader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ControllerSettingsTest {
    private static final String VALID = "{'instance':'a','zone':'szeged-a','region':'alfold','host':'127.0.0.1',"
            + "'operator_port':9001,'admin_port':9002,'peer_port':9003,'peers':[],"
            + "'platform_url':'http://127.0.0.1:9000','key_hash_secret':'0123456789abcdef',"
            + "'operator_token_digest_hex':'" + "0".repeat(64) + "'}";

    private final SettingsLoader<ControllerSettings> loader =
            new SettingsLoader<>(ControllerSettings.class, "controller-settings.schema.json");

    private ControllerSettings parse(String json) throws SettingsException {
        return loader.parse(json.replace('\'', '"'));
    }

    // Guards against a settings schema that does not match the record.
    @Test
    void absentTimesHaveDefaults() throws SettingsException {
        ControllerSettings settings = parse(VALID);

        assertThat(settings.leaseTtlMs()).isEqualTo(10_000);
        assertThat(settings.usageSealDelayMs()).isEqualTo(30_000);
    }

    // Guards against invalid settings that are accepted, and against errors that do not name the setting.
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "'operator_port':9001 | 'operator_port':70000 | operator_port",
                "'instance':'a'       | 'instance':'a/b'      | instance",
                "'peers':[]           | 'peers':['a']         | peers/0",
                "'peers':[]           | 'peers':[],'typo':1   | typo",
                "'peers':[]           | 'peers':[],'lease_ttl_ms':1000,'lease_safety_margin_ms':600 | at most half",
            })
    void invalidSettingsAreRejected(String valid, String invalid, String named) {
        SettingsException e = assertThrows(SettingsException.class, () -> parse(VALID.replace(valid, invalid)));

        assertThat(e).hasMessageThat().contains(named);
    }
}
