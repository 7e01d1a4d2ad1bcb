package org.cranberrybend.experiment.load;

import java.net.URI;

/**
 * A server to which load is sent.
 *
 * @param name name of the target in the report
 * @param baseUri scheme, host and port
 * @param key API key; empty for a direct connection to an engine
 */
public record LoadTarget(String name, URI baseUri, String key) {}
