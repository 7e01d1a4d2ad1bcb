package org.cranberrybend.core.admission;

import org.cranberrybend.core.account.RequestClass;
import org.cranberrybend.core.account.Tier;

/**
 * Identity of a request class in a queue. The tier is part of it because different templates may use the same name for
 * classes of different tiers.
 *
 * @param tier tier of the class
 * @param name name of the class
 */
record ClassKey(Tier tier, String name) {
    static ClassKey of(RequestClass requestClass) {
        return new ClassKey(requestClass.tier(), requestClass.name());
    }
}
