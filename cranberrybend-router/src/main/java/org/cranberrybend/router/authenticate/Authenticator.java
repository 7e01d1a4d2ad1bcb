package org.cranberrybend.router.authenticate;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.core.account.ClientAccount;
import org.cranberrybend.core.account.KeyHasher;
import org.cranberrybend.core.account.Template;
import org.cranberrybend.core.configuration.ConfigurationView;
import org.cranberrybend.core.configuration.ConfigurationView.KeyOwner;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.error.RequestFailedException;
import org.cranberrybend.router.accept.CallerRequest;
import org.cranberrybend.wire.node.ConfigurationStore;

/** Authenticates requests: finds the client account by the API key. */
public final class Authenticator {
    private static final String BEARER_PREFIX = "bearer ";
    private static final long ANONYMOUS_CUT_OFF_SERVE_SECONDS = 86_400;
    private static final long MS_PER_SECOND = 1_000;
    private static final long CATCH_UP_POLL_MS = 5;

    private final ConfigurationStore store;
    private final KeyHasher keyHasher;

    /** Creates an authenticator that uses the accepted configuration. */
    public Authenticator(ConfigurationStore store, KeyHasher keyHasher) {
        this.store = store;
        this.keyHasher = keyHasher;
    }

    /**
     * Returns the configuration view to use for all checks of one request. After a pause of this process, waits until
     * the configuration has been compared with a peer, so that a key revoked during the pause is not accepted.
     *
     * @throws RequestFailedException if this instance has not received a configuration yet
     * @throws InterruptedException if the router is stopped
     */
    public ConfigurationView awaitView() throws RequestFailedException, InterruptedException {
        while (store.isCatchingUp()) {
            TimeUnit.MILLISECONDS.sleep(CATCH_UP_POLL_MS);
        }
        ConfigurationView view = store.view();
        if (view.revision() == 0) {
            throw RequestFailedException.notRun(ErrorCode.CONFIGURATION_MISSING);
        }
        return view;
    }

    /** Returns the anonymous caller; fails if the configuration is stale. */
    public Caller anonymousCaller() throws RequestFailedException {
        checkStaleness(ANONYMOUS_CUT_OFF_SERVE_SECONDS);
        return Caller.anonymous();
    }

    /**
     * Authenticates a request by the API key in {@code Authorization: Bearer}, {@code X-Api-Key} or one of
     * {@code keyHeaders}, in this order.
     *
     * @throws RequestFailedException if the key is missing, unknown or revoked, or the configuration is stale
     */
    public Caller authenticate(ConfigurationView view, CallerRequest request, List<String> keyHeaders)
            throws RequestFailedException {
        String keyText =
                sentKey(request, keyHeaders).orElseThrow(() -> RequestFailedException.notRun(ErrorCode.KEY_MISSING));
        KeyOwner owner = KeyHasher.keyId(keyText)
                .flatMap(view::keyOwner)
                .filter(each -> keyHasher.matches(each.key(), keyText))
                .orElseThrow(() -> RequestFailedException.notRun(ErrorCode.KEY_UNKNOWN));
        if (owner.key().revoked() || store.revocations().contains(owner.key().keyId())) {
            throw RequestFailedException.notRun(ErrorCode.KEY_REVOKED);
        }
        Template template = view.account(owner.account())
                .map(ClientAccount::template)
                .flatMap(view::template)
                .orElseThrow(() -> RequestFailedException.notRun(ErrorCode.KEY_UNKNOWN));
        checkStaleness(template.cutOffServeSeconds());
        return new Caller(owner.account(), template, owner.key().keyId());
    }

    private void checkStaleness(long cutOffServeSeconds) throws RequestFailedException {
        if (store.storeConfirmedAgeMs() > cutOffServeSeconds * MS_PER_SECOND) {
            throw RequestFailedException.notRun(ErrorCode.CONFIGURATION_STALE);
        }
    }

    /** Returns whether a key was revoked or removed after its request was accepted; false for an anonymous request. */
    public boolean isRevoked(String keyId) {
        if (keyId.isEmpty()) {
            return false;
        }
        return store.revocations().contains(keyId)
                || store.view()
                        .keyOwner(keyId)
                        .map(owner -> owner.key().revoked())
                        .orElse(true);
    }

    private static Optional<String> sentKey(CallerRequest request, List<String> keyHeaders) {
        Optional<String> authorization = request.header("Authorization")
                .filter(value -> value.toLowerCase(Locale.ROOT).startsWith(BEARER_PREFIX))
                .map(value -> value.substring(BEARER_PREFIX.length()).strip());
        Optional<String> found = authorization.or(() -> request.header("X-Api-Key"));
        for (String name : keyHeaders) {
            found = found.or(() -> request.header(name));
        }
        return found.filter(text -> !text.isEmpty());
    }
}
