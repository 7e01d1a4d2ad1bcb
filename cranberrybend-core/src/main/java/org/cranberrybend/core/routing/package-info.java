/** Upstreams, pools, pool shards and their owners, and the choice of a zone and an upstream for a request. */
package org.cranberrybend.core.routing;
