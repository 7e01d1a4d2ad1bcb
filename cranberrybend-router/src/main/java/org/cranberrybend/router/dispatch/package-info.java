/** Sending requests to upstreams and their answers back. */
package org.cranberrybend.router.dispatch;
