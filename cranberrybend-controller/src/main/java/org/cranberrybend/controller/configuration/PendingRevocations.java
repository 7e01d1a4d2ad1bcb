package org.cranberrybend.controller.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cranberrybend.core.account.ApiKey;
import org.cranberrybend.core.account.ClientAccount;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.core.configuration.ConfigurationView;
import org.cranberrybend.core.configuration.EntityChange;
import org.cranberrybend.core.configuration.EntityKind;
import org.cranberrybend.core.configuration.RevocationSet;
import org.cranberrybend.core.error.RequestFailedException;
import org.cranberrybend.wire.node.ConfigurationStore;

/** Writes revocations that were made while the key-value store was unavailable to the configuration. */
public final class PendingRevocations {
    private static final String AUTHOR = "revocation-set";

    private final ConfigurationStore accepted;
    private final ConfigurationWriter writer;

    /** Creates an instance for the revocation set known to this process. */
    public PendingRevocations(ConfigurationStore accepted, ConfigurationWriter writer) {
        this.accepted = accepted;
        this.writer = writer;
    }

    /**
     * Revokes the keys of the revocation set that are not yet revoked in the configuration. Failures are retried later.
     */
    void write() {
        ConfigurationView view = accepted.view();
        List<EntityChange> changes = revocations(view, accepted.revocations());
        if (changes.isEmpty()) {
            return;
        }
        try {
            writer.write(new ChangeRequest(view.revision(), AUTHOR, changes, false));
        } catch (RequestFailedException e) {
            // The configuration was changed concurrently or the store is unavailable. The writer has recorded an event.
            return;
        }
    }

    /** Returns the changes that mark the given keys as revoked. */
    static List<EntityChange> revocations(ConfigurationView view, RevocationSet revoked) {
        Map<String, ClientAccount> changed = new TreeMap<>();
        for (String keyId : revoked.keyIds()) {
            view.keyOwner(keyId).filter(owner -> !owner.key().revoked()).ifPresent(owner -> {
                ClientAccount account = changed.getOrDefault(
                        owner.account(), view.account(owner.account()).orElseThrow());
                changed.put(owner.account(), withRevoked(account, keyId));
            });
        }
        List<EntityChange> changes = new ArrayList<>();
        changed.forEach((name, account) -> changes.add(accountChange(name, account)));
        return changes;
    }

    private static ClientAccount withRevoked(ClientAccount account, String keyId) {
        List<ApiKey> keys = account.keys().stream()
                .map(each -> each.keyId().equals(keyId) ? each.revoke() : each)
                .toList();
        return new ClientAccount(account.template(), keys);
    }

    /** Returns the change that sets a client account. */
    public static EntityChange accountChange(String name, ClientAccount account) {
        return new EntityChange(EntityKind.ACCOUNT, name, CanonicalJson.mapper().convertValue(account, JsonNode.class));
    }
}
