/** Usage, metrics and events of requests. */
package org.cranberrybend.router.meter;
