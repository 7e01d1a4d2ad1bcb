package org.cranberrybend.router.authenticate;

import org.cranberrybend.core.account.RequestClass;
import org.cranberrybend.core.account.Template;
import org.cranberrybend.core.account.Tier;

/**
 * The client account of a request.
 *
 * @param account name of the client account
 * @param template template of the account; null for an anonymous request
 * @param keyId identifier of the API key; empty for an anonymous request
 */
public record Caller(String account, Template template, String keyId) {
    /** Account name of anonymous requests; not a valid name for a configured account. */
    public static final String ANONYMOUS_ACCOUNT = "(open)";

    /** Request class of anonymous requests. */
    public static final RequestClass ANONYMOUS_CLASS = new RequestClass("open", Tier.TIER_3, 10_000, 1_000, 0.01);

    /** Returns the caller of anonymous requests, which are allowed on routes with {@code open_to_all}. */
    public static Caller anonymous() {
        return new Caller(ANONYMOUS_ACCOUNT, null, "");
    }

    /** Returns whether the request is anonymous. */
    public boolean isAnonymous() {
        return template == null;
    }

    /** Returns the weight of the account for its fair share of capacity. */
    public double weightRatio() {
        return isAnonymous() ? 1 : template.weightRatio();
    }
}
