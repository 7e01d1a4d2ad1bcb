/** The router: accepts requests of callers, forwards them to upstreams and relays the responses. */
package org.cranberrybend.router;
