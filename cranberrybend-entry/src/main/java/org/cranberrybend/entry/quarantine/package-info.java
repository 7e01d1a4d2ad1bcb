/** Detection of crashed upstreams, and the refusal of requests whose prompts crash them. */
package org.cranberrybend.entry.quarantine;
