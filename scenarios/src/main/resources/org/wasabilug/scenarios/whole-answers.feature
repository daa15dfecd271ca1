@holds-whole
Feature: A caller gets the whole answer to its own request

  @alone
  Scenario Outline: <failure>
    Given the Frigoval deployment
    And 20 requests a second arrive for 14 seconds
    When 2 seconds pass
    And <failure>
    And 8 seconds pass
    And every failure ends
    And 20 seconds pass
    Then each caller with an answer has the whole answer to its own request
    And at least 20 % of the requests are answered

    @fails-stage-slow
    Examples:
      | failure                                            |
      | every endpoint of pool rerankers is 5 times slower |

    @fails-stage-fails
    Examples:
      | failure                                        |
      | endpoint lorient-generators-2 fails every call |

    @fails-burst
    Examples:
      | failure                        |
      | a burst of 60 requests arrives |

    @fails-process-dies
    Examples:
      | failure               |
      | instance entry-2 dies |

    @fails-turns-cold
    Examples:
      | failure                                 |
      | endpoint rennes-generators-0 turns cold |

    @fails-platform-down
    Examples:
      | failure                |
      | the platform goes down |

    @fails-platform-slow
    Examples:
      | failure                                    |
      | the platform answers 400 milliseconds late |

    @fails-answers-lost
    Examples:
      | failure                               |
      | the platform loses the next 6 answers |

    @fails-holder-paused
    Examples:
      | failure                 |
      | instance entry-3 pauses |

    @fails-operators-race
    Examples:
      | failure                                               |
      | two operators race with changes of the same workspace |

    @fails-crashing-request
    Examples:
      | failure                                              |
      | a request that crashes each endpoint is sent 4 times |

    @fails-partition
    Examples:
      | failure                                                        |
      | failure domains rennes and lorient are cut off from each other |

    @fails-list-lags
    Examples:
      | failure                              |
      | the list of instances lags 5 seconds |

  @twice
  Scenario Outline: <failure>, twice
    Given the Serrano deployment
    And 20 requests a second arrive for 14 seconds
    When 2 seconds pass
    And <failure>
    And 4 seconds pass
    And every failure ends
    And 1 second passes
    And <failure>
    And 4 seconds pass
    And every failure ends
    And 20 seconds pass
    Then each caller with an answer has the whole answer to its own request
    And at least 20 % of the requests are answered

    @fails-stage-slow
    Examples:
      | failure                                            |
      | every endpoint of pool rerankers is 5 times slower |

    @fails-stage-fails
    Examples:
      | failure                                        |
      | endpoint gramado-generators-2 fails every call |

    @fails-burst
    Examples:
      | failure                        |
      | a burst of 60 requests arrives |

    @fails-process-dies
    Examples:
      | failure               |
      | instance entry-2 dies |

    @fails-turns-cold
    Examples:
      | failure                                   |
      | endpoint caxias-1-generators-0 turns cold |

    @fails-platform-down
    Examples:
      | failure                |
      | the platform goes down |

    @fails-platform-slow
    Examples:
      | failure                                    |
      | the platform answers 400 milliseconds late |

    @fails-answers-lost
    Examples:
      | failure                               |
      | the platform loses the next 6 answers |

    @fails-holder-paused
    Examples:
      | failure                 |
      | instance entry-3 pauses |

    @fails-operators-race
    Examples:
      | failure                                               |
      | two operators race with changes of the same workspace |

    @fails-crashing-request
    Examples:
      | failure                                              |
      | a request that crashes each endpoint is sent 4 times |

    @fails-partition
    Examples:
      | failure                                                          |
      | failure domains caxias-1 and gramado are cut off from each other |

    @fails-list-lags
    Examples:
      | failure                              |
      | the list of instances lags 5 seconds |

  @together
  Scenario Outline: <failure> and <other>
    Given the Frigoval deployment
    And 20 requests a second arrive for 14 seconds
    When 2 seconds pass
    And <failure>
    And <other>
    And 8 seconds pass
    And every failure ends
    And 20 seconds pass
    Then each caller with an answer has the whole answer to its own request
    And at least 20 % of the requests are answered

    @fails-process-dies @fails-answers-lost
    Examples:
      | failure               | other                                 |
      | instance entry-2 dies | the platform loses the next 6 answers |

    @fails-platform-down @fails-turns-cold
    Examples:
      | failure                | other                                   |
      | the platform goes down | endpoint rennes-generators-0 turns cold |

    @fails-holder-paused @fails-process-dies
    Examples:
      | failure                 | other                 |
      | instance entry-3 pauses | instance entry-2 dies |

    @fails-partition @fails-platform-down
    Examples:
      | failure                                                        | other                  |
      | failure domains rennes and lorient are cut off from each other | the platform goes down |

    @fails-burst @fails-stage-slow
    Examples:
      | failure                        | other                                              |
      | a burst of 60 requests arrives | every endpoint of pool rerankers is 5 times slower |

    @fails-stage-fails @fails-crashing-request
    Examples:
      | failure                                        | other                                                |
      | endpoint lorient-generators-2 fails every call | a request that crashes each endpoint is sent 4 times |

    @fails-operators-race @fails-platform-slow
    Examples:
      | failure                                               | other                                      |
      | two operators race with changes of the same workspace | the platform answers 400 milliseconds late |

    @fails-list-lags @fails-process-dies
    Examples:
      | failure                              | other                 |
      | the list of instances lags 5 seconds | instance entry-2 dies |
