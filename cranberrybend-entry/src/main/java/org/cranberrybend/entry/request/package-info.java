/** The way of a request: route and account, choice of an upstream, attempts, and one final answer. */
package org.cranberrybend.entry.request;
