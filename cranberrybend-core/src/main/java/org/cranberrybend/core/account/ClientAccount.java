package org.cranberrybend.core.account;

import java.util.List;

/**
 * A client account. Its limits and permissions come from a {@link Template}.
 *
 * @param template name of the template
 * @param keys API keys issued to the account
 */
public record ClientAccount(String template, List<ApiKey> keys) {
    public ClientAccount {
        Checks.requireName("template", template);
        keys = keys == null ? List.of() : List.copyOf(keys);
    }
}
