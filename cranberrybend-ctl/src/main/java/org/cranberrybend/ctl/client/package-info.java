/** Clients for the operator API of controllers and for admin ports. */
package org.cranberrybend.ctl.client;
