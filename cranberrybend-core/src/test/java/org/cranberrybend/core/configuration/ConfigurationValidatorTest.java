package org.cranberrybend.core.configuration;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConfigurationValidatorTest {
    private static final String CLASS = "{\"name\":\"quick\",\"tier\":0,\"first_token_target_ms\":850,"
            + "\"inter_token_target_ms\":44,\"guaranteed_share_ratio\":0.2}";

    private static List<String> faults(String kind, String name, String json) throws JsonProcessingException {
        EntityChange change = new EntityChange(
                EntityKind.of(kind), name, CanonicalJson.mapper().readTree(json));
        ChangeSet changeSet = new ChangeSet(1, "", "ana", 0, List.of(change));
        return ConfigurationValidator.validate(ConfigurationState.EMPTY.apply(changeSet)).stream()
                .map(ConfigurationError::toString)
                .toList();
    }

    // Guards against an accepted entity that no router can use, and against a fault without its path.
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "template | {`request_classes`:[]} | request_classes must name at least one class",
                "template | {`request_classes`:[C],`max_concurrent_requests`:0} | max_concurrent_requests must be",
                "template | {`request_classes`:[C],`max_concurrent_requests`:1,`models`:[`x`]} | \"x\" does not exist",
                "template | {`request_classes`:[C],`max_concurrent_requests`:1,`colour`:1} | colour",
                "template | {`request_classes`:[C,C],`max_concurrent_requests`:1} | must not name a class twice",
                "template | {`request_classes`:[Z],`max_concurrent_requests`:1} | must be at least 0.01",
                "account | {`template`:`none`} | \"none\" does not exist",
                "account | {`template`:`a`,`keys`:[{`key_id`:`a_b`,`digest_hex`:`D`}]} | key_id must not contain '_'",
                "account | {`template`:`a`,`keys`:[{`key_id`:`ab`,`digest_hex`:`0`}]} | 64 hexadecimal digits",
                "route | {`path_prefix`:`/`,`service`:`s`} | must not cover the model interface",
                "route | {`path_prefix`:`/v1/models`,`service`:`s`} | must not cover the model interface",
                "route | {`path_prefix`:`orders`,`service`:`s`} | must start with '/'",
                "route | {`path_prefix`:`/o`,`service`:`s`,`idempotent`:true,`idempotency_key_required`:true} | not idem",
                "model | {`max_output_tokens`:10,`context_tokens`:5} | context_tokens must be between",
                "zone | {`guaranteed_upstreams_min`:3,`upstreams_max`:2} | upstreams_max must be at least",
            })
    void invalidEntityIsNamed(String kind, String template, String expected) throws JsonProcessingException {
        String json = template.replace('`', '"')
                .replace("[C", "[" + CLASS)
                .replace(",C]", "," + CLASS + "]")
                .replace("[Z", "[" + CLASS.replace("0.2", "0"))
                .replace("\"D\"", "\"" + "0".repeat(64) + "\"");

        List<String> faults = faults(kind, "entity", json);

        assertThat(faults).isNotEmpty();
        assertThat(faults.get(0)).startsWith(kind + "/entity");
        assertThat(faults.get(0)).contains(expected);
    }
}
