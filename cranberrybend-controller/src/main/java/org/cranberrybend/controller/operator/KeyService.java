package org.cranberrybend.controller.operator;

import com.google.common.collect.ImmutableSortedSet;
import com.google.common.io.BaseEncoding;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.cranberrybend.controller.configuration.ChangeRequest;
import org.cranberrybend.controller.configuration.ConfigurationWriter;
import org.cranberrybend.controller.configuration.PendingRevocations;
import org.cranberrybend.core.account.ApiKey;
import org.cranberrybend.core.account.ClientAccount;
import org.cranberrybend.core.account.KeyHasher;
import org.cranberrybend.core.configuration.ConfigurationState;
import org.cranberrybend.core.configuration.ConfigurationView;
import org.cranberrybend.core.configuration.RevocationSet;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.error.RequestFailedException;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.wire.node.ConfigurationStore;

/** Issues and revokes the API keys of client accounts. */
public final class KeyService {
    private static final int ID_BYTES = 10;
    private static final int SECRET_BYTES = 32;
    private static final int MAX_ATTEMPTS = 5;
    private static final BaseEncoding ENCODING =
            BaseEncoding.base32().lowerCase().omitPadding();

    private final ConfigurationWriter writer;
    private final ConfigurationStore accepted;
    private final KeyHasher hasher;
    private final SecureRandom random;
    private final EventLog events;

    /** Creates the service; {@code accepted} is the configuration accepted by this process. */
    public KeyService(
            ConfigurationWriter writer,
            ConfigurationStore accepted,
            KeyHasher hasher,
            SecureRandom random,
            EventLog events) {
        this.writer = writer;
        this.accepted = accepted;
        this.hasher = hasher;
        this.random = random;
        this.events = events;
    }

    /**
     * Issues a key for a client account.
     *
     * @throws RequestFailedException if the account does not exist or the key was not stored
     */
    public IssuedKey issue(String account, String author) throws RequestFailedException {
        String keyId = randomText(ID_BYTES);
        String keyText = KeyHasher.keyText(keyId, randomText(SECRET_BYTES));
        ApiKey stored = new ApiKey(keyId, hasher.digestHex(keyText), false);
        long revision = updateKeys(account, author, keys -> {
            List<ApiKey> extended = new ArrayList<>(keys);
            extended.add(stored);
            return extended;
        });
        return new IssuedKey(keyId, keyText, revision);
    }

    /**
     * Revokes a key in the configuration, or in the revocation set if the configuration cannot be changed because the
     * key-value store is unavailable or other changes keep conflicting.
     *
     * @throws RequestFailedException if the account has no such key or the change was refused
     */
    public Revocation revoke(String account, String keyId, String author) throws RequestFailedException {
        try {
            long revision = revokeInConfiguration(account, keyId, author);
            recordRevoked(keyId, account, false);
            return new Revocation(keyId, false, revision);
        } catch (RequestFailedException e) {
            boolean retryable = e.code() == ErrorCode.STORE_UNAVAILABLE || e.code() == ErrorCode.REVISION_CONFLICT;
            if (!retryable || !belongsTo(accepted.view(), account, keyId)) {
                throw e;
            }
            accepted.revoke(new RevocationSet(ImmutableSortedSet.of(keyId)));
            recordRevoked(keyId, account, true);
            return new Revocation(keyId, true, accepted.state().revision());
        }
    }

    private long revokeInConfiguration(String account, String keyId, String author) throws RequestFailedException {
        ConfigurationView view = new ConfigurationView(writer.confirmed());
        if (!belongsTo(view, account, keyId)) {
            throw RequestFailedException.notRun(ErrorCode.NOT_FOUND, "Key \"" + keyId + "\" of \"" + account + "\"");
        }
        if (view.keyOwner(keyId).orElseThrow().key().revoked()) {
            return view.revision();
        }
        return updateKeys(account, author, keys -> keys.stream()
                .map(each -> each.keyId().equals(keyId) ? each.revoke() : each)
                .toList());
    }

    private static boolean belongsTo(ConfigurationView view, String account, String keyId) {
        return view.keyOwner(keyId)
                .filter(owner -> owner.account().equals(account))
                .isPresent();
    }

    /** Changes the keys of an account at the latest revision, and retries after conflicts with concurrent changes. */
    private long updateKeys(String account, String author, UnaryOperator<List<ApiKey>> change)
            throws RequestFailedException {
        RequestFailedException conflict = null;
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            ConfigurationState state = writer.confirmed();
            ClientAccount before = new ConfigurationView(state)
                    .account(account)
                    .orElseThrow(() ->
                            RequestFailedException.notRun(ErrorCode.NOT_FOUND, "Client account \"" + account + "\""));
            ClientAccount after = new ClientAccount(before.template(), change.apply(before.keys()));
            try {
                return writer.write(new ChangeRequest(
                                state.revision(),
                                author,
                                List.of(PendingRevocations.accountChange(account, after)),
                                false))
                        .revision();
            } catch (RequestFailedException e) {
                if (e.code() != ErrorCode.REVISION_CONFLICT) {
                    throw e;
                }
                conflict = e;
            }
        }
        throw conflict;
    }

    private void recordRevoked(String keyId, String account, boolean pending) {
        events.record(EventCode.KEY_REVOKED, keyId, Map.of("account", account, "pending", pending));
    }

    private String randomText(int lengthBytes) {
        byte[] bytes = new byte[lengthBytes];
        random.nextBytes(bytes);
        return ENCODING.encode(bytes);
    }
}
