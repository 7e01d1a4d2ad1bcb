package org.cranberrybend.router.authenticate;

import org.cranberrybend.core.account.RequestClass;
import org.cranberrybend.core.account.Template;
import org.cranberrybend.core.account.Tier;

/**
 * The client account that a request runs for.
 *
 * @param account name of the client account
 * @param template template of the account; null on a route open to all
 * @param keyId identifier of the key; empty on a route open to all
 */
public record Caller(String account, Template template, String keyId) {
    /** Account name of requests without a key; it cannot be the name of a configured account. */
    public static final String OPEN_ACCOUNT = "(open)";

    /** Class of requests without a key. */
    public static final RequestClass OPEN_CLASS = new RequestClass("open", Tier.TIER_3, 10_000, 1_000, 0.01);

    /** Returns the caller of a route open to all. */
    public static Caller open() {
        return new Caller(OPEN_ACCOUNT, null, "");
    }

    /** Returns whether the request needs no key. */
    public boolean isOpen() {
        return template == null;
    }

    /** Returns the weight of the account in the fair division of capacity. */
    public double weightRatio() {
        return isOpen() ? 1 : template.weightRatio();
    }
}
