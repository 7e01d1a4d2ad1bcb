/** Sends upstream orders under the order lease of the availability zone. */
package org.cranberrybend.controller.order;
