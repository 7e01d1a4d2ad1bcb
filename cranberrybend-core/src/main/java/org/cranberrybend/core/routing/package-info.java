/** Upstreams, pools, their owners and the choice of an upstream. */
package org.cranberrybend.core.routing;
