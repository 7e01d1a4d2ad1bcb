package org.cranberrybend.core.usage;

/**
 * What usage is counted for.
 *
 * @param clientAccount name of the client account
 * @param className name of the request class
 * @param service name of the model or plain service
 */
public record UsageKey(String clientAccount, String className, String service) {}
