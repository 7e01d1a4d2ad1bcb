package org.cranberrybend.standins.fleet;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cranberrybend.core.account.Tier;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.core.configuration.ChangeSet;
import org.cranberrybend.core.configuration.ConfigurationState;
import org.cranberrybend.core.configuration.ConfigurationValidator;
import org.cranberrybend.core.configuration.ConfigurationView;
import org.cranberrybend.core.configuration.EntityChange;
import org.junit.jupiter.api.Test;

/** Tests that controllers accept the first configuration of the local fleet and that it has a class of every tier. */
class LocalConfigurationTest {
    @Test
    void configurationIsValidAndCoversAllTiers() throws Exception {
        Path file = Path.of(System.getProperty("cranberrybend.root"), "config", "local-configuration.json");
        List<EntityChange> changes = new ArrayList<>();
        for (JsonNode each :
                CanonicalJson.mapper().readTree(Files.readString(file)).path("changes")) {
            changes.add(CanonicalJson.mapper().treeToValue(each, EntityChange.class));
        }
        ConfigurationState state = ConfigurationState.EMPTY.apply(new ChangeSet(1, "", "test", 0, changes));
        assertThat(ConfigurationValidator.validate(state)).isEmpty();
        Set<Tier> tiers = new HashSet<>();
        new ConfigurationView(state).templates().values().forEach(template -> template.requestClasses()
                .forEach(each -> tiers.add(each.tier())));
        assertThat(tiers).containsExactlyElementsIn(Tier.values());
    }
}
