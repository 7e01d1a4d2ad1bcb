/** Fakes of what the controller is connected to. */
package org.cranberrybend.controller.testing;
