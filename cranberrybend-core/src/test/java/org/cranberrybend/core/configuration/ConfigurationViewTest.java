package org.cranberrybend.core.configuration;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.junit.jupiter.api.Test;

class ConfigurationViewTest {
    private static final String KEY = "{\"key_id\":\"k1\",\"digest_hex\":\"" + "a".repeat(64) + "\",\"revoked\":";

    // Guards against a view that keeps an entity of an earlier revision: a removed account, a revoked key, a fault.
    @Test
    void nextViewEqualsViewBuiltAnew() throws JsonProcessingException {
        List<EntityChange> history = List.of(
                account("alpha", "{\"template\":\"t1\",\"keys\":[" + KEY + "false}]}"),
                account("beta", "{\"template\":\"t1\",\"keys\":[]}"),
                account("alpha", "{\"template\":\"t1\",\"keys\":[" + KEY + "true}]}"),
                account("beta", "{\"template\":\"t1\",\"unknown\":1}"),
                account("beta", "{\"template\":\"t2\",\"keys\":[" + KEY + "false}]}"),
                account("alpha", null),
                account("beta", "{\"template\":\"t3\",\"keys\":[]}"));
        ConfigurationState state = ConfigurationState.EMPTY;
        ConfigurationView view = new ConfigurationView(state);
        for (EntityChange change : history) {
            state = state.apply(
                    new ChangeSet(state.revision() + 1, state.chainDigest(), "operator", 0, List.of(change)));
            view = view.next(state);
            ConfigurationView anew = new ConfigurationView(state);
            assertThat(view.revision()).isEqualTo(anew.revision());
            assertThat(view.accounts()).isEqualTo(anew.accounts());
            assertThat(view.keyOwner("k1")).isEqualTo(anew.keyOwner("k1"));
            assertThat(view.errors()).isEqualTo(anew.errors());
        }
    }

    // Guards against reading every client account again for each change.
    @Test
    void nextViewReusesUnchangedEntities() throws JsonProcessingException {
        ConfigurationState state = ConfigurationState.EMPTY.apply(new ChangeSet(
                1,
                "",
                "operator",
                0,
                List.of(account("alpha", "{\"template\":\"t1\"}"), account("beta", "{\"template\":\"t1\"}"))));
        ConfigurationView before = new ConfigurationView(state);
        ConfigurationView after = before.next(state.apply(new ChangeSet(
                2, state.chainDigest(), "operator", 0, List.of(account("beta", "{\"template\":\"t2\"}")))));
        assertThat(after.accounts().get("alpha"))
                .isSameInstanceAs(before.accounts().get("alpha"));
        assertThat(after.accounts().get("beta").template()).isEqualTo("t2");
    }

    private static EntityChange account(String name, String json) throws JsonProcessingException {
        JsonNode value = json == null ? null : CanonicalJson.mapper().readTree(json);
        return new EntityChange(EntityKind.ACCOUNT, name, value);
    }
}
