/** Calls to controllers and administrative ports. */
package org.cranberrybend.ctl.client;
