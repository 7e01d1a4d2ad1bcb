/** The operators' HTTP interface. */
package org.cranberrybend.controller.operator;
