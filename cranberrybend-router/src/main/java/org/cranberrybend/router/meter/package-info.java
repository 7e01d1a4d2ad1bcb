/** Usage metering and metrics of requests. */
package org.cranberrybend.router.meter;
