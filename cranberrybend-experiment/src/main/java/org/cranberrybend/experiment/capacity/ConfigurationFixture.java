package org.cranberrybend.experiment.capacity;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.core.configuration.ChangeSet;
import org.cranberrybend.core.configuration.ConfigurationState;
import org.cranberrybend.core.configuration.EntityChange;
import org.cranberrybend.core.configuration.EntityId;
import org.cranberrybend.core.configuration.EntityKind;

/** Generates configurations with a given number of client accounts, two keys in each, 11 models and 3 templates. */
final class ConfigurationFixture {
    private static final int MODELS = 11;
    private static final int TEMPLATES = 3;

    private ConfigurationFixture() {}

    static ConfigurationState state(int accounts) {
        ImmutableSortedMap.Builder<EntityId, JsonNode> entities = ImmutableSortedMap.naturalOrder();
        StringBuilder models = new StringBuilder();
        for (int i = 0; i < MODELS; i++) {
            entities.put(
                    new EntityId(EntityKind.MODEL, "model-" + i),
                    json("{\"context_tokens\":131072,\"max_output_tokens\":8192}"));
            models.append(i == 0 ? "" : ",").append("\"model-").append(i).append('"');
        }
        for (int i = 0; i < TEMPLATES; i++) {
            entities.put(new EntityId(EntityKind.TEMPLATE, "template-" + i), template(models.toString()));
        }
        for (int i = 0; i < accounts; i++) {
            entities.put(new EntityId(EntityKind.ACCOUNT, accountName(i)), account(i, 0));
        }
        return new ConfigurationState(1, CanonicalJson.digestHex("fixture"), entities.build());
    }

    static String accountName(int index) {
        return "client-account-" + index;
    }

    /** Returns a change set that changes the keys of the first accounts. */
    static ChangeSet change(ConfigurationState state, int changedAccounts) {
        List<EntityChange> changes = new ArrayList<>();
        for (int i = 0; i < changedAccounts; i++) {
            changes.add(new EntityChange(EntityKind.ACCOUNT, accountName(i), account(i, state.revision())));
        }
        return new ChangeSet(state.revision() + 1, state.chainDigest(), "operator-1", 1_700_000_000_000L, changes);
    }

    private static JsonNode template(String models) {
        return json("{\"cut_off_serve_seconds\":86400,\"max_concurrent_requests\":200,\"models\":[" + models
                + "],\"request_classes\":[{\"first_token_target_ms\":850,\"guaranteed_share_ratio\":0.2,"
                + "\"inter_token_target_ms\":44,\"name\":\"counter\",\"tier\":0}],\"routes\":[],"
                + "\"tokens_per_minute\":0,\"weight_ratio\":1}");
    }

    private static JsonNode account(int index, long generation) {
        return json("{\"keys\":[" + key(index, generation) + "," + key(index, generation + 1)
                + "],\"template\":\"template-" + index % TEMPLATES + "\"}");
    }

    private static String key(int index, long generation) {
        String digest = Hashing.sha256()
                .hashString(index + "/" + generation, StandardCharsets.UTF_8)
                .toString();
        return "{\"digest_hex\":\"" + digest + "\",\"key_id\":\"" + digest.substring(0, 12) + "\",\"revoked\":false}";
    }

    private static JsonNode json(String text) {
        try {
            return CanonicalJson.mapper().readTree(text);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("fixture is not valid JSON: " + text, e);
        }
    }
}
