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

/** Finds the client account of a request by its key. */
public final class Authenticator {
    private static final String BEARER = "bearer ";
    private static final long OPEN_CUT_OFF_SERVE_SECONDS = 86_400;
    private static final long MS_PER_SECOND = 1_000;
    private static final long CATCH_UP_CHECK_MS = 5;

    private final ConfigurationStore store;
    private final KeyHasher keyHasher;

    /** Creates an authenticator over the accepted configuration. */
    public Authenticator(ConfigurationStore store, KeyHasher keyHasher) {
        this.store = store;
        this.keyHasher = keyHasher;
    }

    /**
     * Returns the view that the whole request is judged by. After a pause of this process it waits until a peer was
     * asked for newer configuration, so that a key revoked during the pause is not accepted.
     *
     * @throws RequestFailedException if this instance has not received a configuration yet
     * @throws InterruptedException if the router is stopped
     */
    public ConfigurationView view() throws RequestFailedException, InterruptedException {
        while (store.isCatchingUp()) {
            TimeUnit.MILLISECONDS.sleep(CATCH_UP_CHECK_MS);
        }
        ConfigurationView view = store.view();
        if (view.revision() == 0) {
            throw RequestFailedException.notRun(ErrorCode.CONFIGURATION_MISSING);
        }
        return view;
    }

    /** Returns the caller of a route open to all, unless the configuration is stale. */
    public Caller open() throws RequestFailedException {
        checkStaleness(OPEN_CUT_OFF_SERVE_SECONDS);
        return Caller.open();
    }

    /**
     * Authenticates a request by {@code Authorization: Bearer}, or else {@code X-Api-Key} or a header that the route
     * declares.
     *
     * @throws RequestFailedException if the key is missing, unknown or revoked, or the configuration is stale
     */
    public Caller authenticate(ConfigurationView view, CallerRequest request, List<String> keyHeaders)
            throws RequestFailedException {
        String keyText =
                keyText(request, keyHeaders).orElseThrow(() -> RequestFailedException.notRun(ErrorCode.KEY_MISSING));
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

    /** Returns whether a key stopped being valid after its request was accepted. */
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

    private static Optional<String> keyText(CallerRequest request, List<String> keyHeaders) {
        Optional<String> authorization = request.header("Authorization")
                .filter(value -> value.toLowerCase(Locale.ROOT).startsWith(BEARER))
                .map(value -> value.substring(BEARER.length()).strip());
        Optional<String> found = authorization.or(() -> request.header("X-Api-Key"));
        for (String name : keyHeaders) {
            found = found.or(() -> request.header(name));
        }
        return found.filter(text -> !text.isEmpty());
    }
}
