package org.cranberrybend.core.account;

import java.util.List;

/**
 * A client account, made from a template.
 *
 * @param template name of the template
 * @param keys keys issued to the account
 */
public record ClientAccount(String template, List<ApiKey> keys) {
    public ClientAccount {
        Checks.name("template", template);
        keys = keys == null ? List.of() : List.copyOf(keys);
    }
}
