/** Periodic tasks of the controller, and the ranking that distributes duties between the controllers of a zone. */
package org.cranberrybend.controller.schedule;
