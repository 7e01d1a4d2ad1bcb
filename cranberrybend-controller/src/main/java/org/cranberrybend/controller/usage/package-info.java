/** Collects usage from the routers, seals it in windows and reports the windows to the platform. */
package org.cranberrybend.controller.usage;
