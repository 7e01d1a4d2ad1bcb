/** Repeated work of the controller and the ranking that divides it between controllers. */
package org.cranberrybend.controller.schedule;
