/** Handling of callers' requests: routing, authentication, attempts at upstreams and the final response. */
package org.cranberrybend.entry.request;
