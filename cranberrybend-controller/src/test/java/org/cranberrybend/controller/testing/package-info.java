/** Fakes of the external interfaces of the controller. */
package org.cranberrybend.controller.testing;
