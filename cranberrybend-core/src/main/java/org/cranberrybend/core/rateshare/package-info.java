/**
 * The division of the request rate of an upstream among instances without a coordinator, for upstreams that are warming
 * up and for those that state a rate limit.
 */
package org.cranberrybend.core.rateshare;
