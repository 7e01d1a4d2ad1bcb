package org.cranberrybend.experiment.load;

import java.net.URI;

/**
 * Where requests are sent.
 *
 * @param name name in the report
 * @param baseUri scheme, host and port
 * @param key caller's key; empty for a direct connection to an engine
 */
public record LoadTarget(String name, URI baseUri, String key) {}
