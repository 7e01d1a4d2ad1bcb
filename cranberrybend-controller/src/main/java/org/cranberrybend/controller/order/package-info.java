/** Sending of upstream orders under the lease of the availability zone. */
package org.cranberrybend.controller.order;
