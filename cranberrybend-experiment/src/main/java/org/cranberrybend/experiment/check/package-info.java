/** End-to-end checks against a running fleet. */
package org.cranberrybend.experiment.check;
