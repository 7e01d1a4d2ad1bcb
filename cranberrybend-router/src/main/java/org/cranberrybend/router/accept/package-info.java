/** HTTP server for callers: accepts connections, receives requests and sends responses. */
package org.cranberrybend.router.accept;
