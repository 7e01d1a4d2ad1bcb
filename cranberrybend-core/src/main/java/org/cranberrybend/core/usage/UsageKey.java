package org.cranberrybend.core.usage;

/**
 * Key under which usage is counted.
 *
 * @param clientAccount name of the client account
 * @param className name of the request class
 * @param service name of the model or plain service
 */
public record UsageKey(String clientAccount, String className, String service) {}
