/** Upstreams: what the platform lists, what requests show of them, and the choice of one for a request. */
package org.cranberrybend.entry.upstream;
