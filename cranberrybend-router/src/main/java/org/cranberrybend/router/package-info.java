/** The router: accepts callers' requests and answers them through upstreams. */
package org.cranberrybend.router;
