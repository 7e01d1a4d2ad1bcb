/** Dispatches admitted requests to upstreams, retries failed attempts and relays the responses to callers. */
package org.cranberrybend.router.dispatch;
